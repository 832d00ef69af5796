/*
 * Processes, HTTP calls, ports and directories for tests; see util-proc.h.
 */

#define LOG_PART "test"
#include "util-proc.h"

#include <arpa/inet.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib/gstdio.h>

#define PORT_FIRST 10000
#define PORT_COUNT 22000
#define PORT_STRIDE 997
/* 127.0.200.1, at which programs hold the ports that they have drawn. */
#define PORT_HOLD_ADDRESS 0x7f00c801U

#define PROC_POLL_US 2000
#define PROC_ARGS_MAX 64
#define HTTP_TIMEOUT_MS 30000L

static char *
proc_path(const char *name)
{
	const char *dir = g_getenv("SAVORY_BUILD");

	return g_build_filename(dir == NULL ? "build" : dir, name, NULL);
}

/* Between fork and exec only what is safe in a copy of a threaded process. */
static void
proc_exec(const char *path, char **argv, int out, pid_t parent)
{
	sigset_t none;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(126);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	dup2(out, STDOUT_FILENO);
	execv(path, argv);
	_exit(127);
}

static void
proc_spawn(struct proc *p, const char *name, const char *const *args)
{
	g_autofree char *path = proc_path(name);
	char *argv[PROC_ARGS_MAX + 2] = { path };
	pid_t parent = getpid();
	int pipes[2];
	size_t i;

	for (i = 0; args != NULL && args[i] != NULL; i++) {
		g_assert_cmpuint(i, <, PROC_ARGS_MAX);
		argv[i + 1] = (char *)args[i];
	}
	memset(p, 0, sizeof *p);
	p->name = g_strdup(name);
	g_assert_no_errno(pipe2(pipes, O_CLOEXEC));
	p->pid = fork();
	g_assert_cmpint(p->pid, !=, -1);
	if (p->pid == 0)
		proc_exec(path, argv, pipes[1], parent);
	close(pipes[1]);
	p->out = pipes[0];
}

/* One line of output, or NULL at its end or when the time is over. */
static char *
proc_read_line(struct proc *p, msec until)
{
	struct pollfd fd = { .fd = p->out, .events = POLLIN };
	GString *line = g_string_new(NULL);
	char c;

	while (msec_now() < until) {
		if (poll(&fd, 1, 100) <= 0)
			continue;
		if (read(p->out, &c, 1) != 1)
			break;
		if (c == '\n')
			return g_string_free(line, FALSE);
		g_string_append_c(line, c);
	}
	g_string_free(line, TRUE);
	return NULL;
}

void
proc_start_argv(struct proc *p, const char *name, const char *const *args)
{
	msec until = msec_now() + PROC_READY_MS;
	char *line;

	proc_spawn(p, name, args);
	while (p->port == 0) {
		line = proc_read_line(p, until);
		if (line == NULL)
			g_error("%s: did not become ready", name);
		if (g_str_has_prefix(line, "ready "))
			p->port =
			    (unsigned int)g_ascii_strtoull(line + 6, NULL, 10);
		g_free(line);
	}
}

void
proc_start_words(struct proc *p, const char *const *words)
{
	proc_start_argv(p, words[0], words + 1);
}

void
proc_start_unready(struct proc *p, const char *name, const char *const *args)
{
	proc_spawn(p, name, args);
}

char *
proc_run(const char *name, const char *const *args, int *status)
{
	GString *text = g_string_new(NULL);
	char buf[4096];
	struct proc p;
	ssize_t n;

	proc_spawn(&p, name, args);
	while ((n = read(p.out, buf, sizeof buf)) > 0)
		g_string_append_len(text, buf, n);
	*status = proc_wait(&p, PROC_STOP_MS);
	return g_string_free(text, FALSE);
}

void
proc_signal(struct proc *p, int sig)
{
	g_assert_cmpint(p->pid, >, 0);
	g_assert_no_errno(kill(p->pid, sig));
}

/* Its end has been waited for; the exit status, or -signal. */
static int
proc_reaped(struct proc *p, int status)
{
	close(p->out);
	g_free(p->name);
	memset(p, 0, sizeof *p);
	return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

int
proc_wait(struct proc *p, msec span)
{
	msec until = msec_now() + span;
	pid_t got;
	int status;

	g_assert_cmpint(p->pid, >, 0);
	while ((got = waitpid(p->pid, &status, WNOHANG)) == 0) {
		if (msec_now() >= until)
			return G_MININT;
		g_usleep(PROC_POLL_US);
	}
	g_assert_cmpint(got, ==, p->pid);
	return proc_reaped(p, status);
}

int
proc_stop(struct proc *p)
{
	proc_signal(p, SIGTERM);
	return proc_wait(p, PROC_STOP_MS);
}

void
proc_kill(struct proc *p)
{
	proc_signal(p, SIGKILL);
	g_assert_cmpint(proc_wait(p, PROC_STOP_MS), !=, G_MININT);
}

/* Returns once it has stopped: the signal alone may come a moment later. */
bool
proc_pause_or_end(struct proc *p, int *ended)
{
	int status = 0;

	proc_signal(p, SIGSTOP);
	g_assert_cmpint(waitpid(p->pid, &status, WUNTRACED), ==, p->pid);
	if (WIFSTOPPED(status))
		return true;
	*ended = proc_reaped(p, status);
	return false;
}

void
proc_pause(struct proc *p)
{
	int ended;

	if (!proc_pause_or_end(p, &ended))
		g_error("a process that was to be paused has ended: %d", ended);
}

void
proc_resume(struct proc *p)
{
	proc_signal(p, SIGCONT);
}

static size_t
http_read(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

static void
http_set_body(CURL *easy, const char *method, const char *body)
{
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	if (body == NULL)
		return;
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
}

void
http_call(struct http_reply *r, const char *method, unsigned int port,
    const char *path, const char *body, const char *const *headers)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	GString *text = g_string_new(NULL);
	CURL *easy = curl_easy_init();
	g_autofree char *url = NULL;

	memset(r, 0, sizeof *r);
	for (; headers != NULL && *headers != NULL; headers++)
		list = curl_slist_append(list, *headers);
	url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	http_set_body(easy, method, body);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, http_read);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	r->curl = (int)curl_easy_perform(easy);
	if (r->curl == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r->status);
	r->json = json_loadb(text->str, text->len, 0, NULL);
	r->text = g_string_free(text, FALSE);
	curl_slist_free_all(list);
	curl_easy_cleanup(easy);
}

void
http_reply_free(struct http_reply *r)
{
	json_decref(r->json);
	g_free(r->text);
	memset(r, 0, sizeof *r);
}

static json_t *
http_call_json(
    const char *method, unsigned int port, const char *path, const char *body)
{
	struct http_reply r;
	json_t *v;

	http_call(&r, method, port, path, body, NULL);
	if (r.status != 200)
		g_error("%s %s: status %ld, curl %d, %s", method, path,
		    r.status, r.curl, r.text);
	v = json_incref(r.json);
	http_reply_free(&r);
	g_assert_nonnull(v);
	return v;
}

json_t *
http_get_json(unsigned int port, const char *path)
{
	return http_call_json("GET", port, path, NULL);
}

json_t *
http_post_json(unsigned int port, const char *path, const char *body)
{
	return http_call_json("POST", port, path, body);
}

int64_t
http_get_number(unsigned int port, const char *path, const char *key)
{
	json_t *v = http_get_json(port, path);
	json_t *n = json_object_get(v, key);
	int64_t number;

	g_assert_true(json_is_integer(n));
	number = json_integer_value(n);
	json_decref(v);
	return number;
}

void
http_fault(unsigned int port, const char *body)
{
	json_decref(http_post_json(port, "/fault", body));
}

bool
wait_until(bool (*holds)(void *), void *arg, msec span)
{
	msec until = msec_now() + span;

	while (!holds(arg)) {
		if (msec_now() >= until)
			return false;
		g_usleep(PROC_POLL_US);
	}
	return true;
}

/* A socket bound to the port at an address; -1: it is in use there. */
static int
port_bind(int type, uint32_t address, unsigned int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(address) };
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	if (bind(fd, (struct sockaddr *)&sin, sizeof sin) == 0)
		return fd;
	close(fd);
	return -1;
}

/*
 * Each port is given to one program at a time: it holds the port at an address
 * that nothing else uses until it ends, also while what it started there is
 * down. All are below the ports that the kernel hands out.
 */
static unsigned int
port_free(int type)
{
	static unsigned int next;
	unsigned int port;
	int held, fd;

	if (next == 0)
		next = (unsigned int)getpid() * PORT_STRIDE;
	for (;;) {
		port = PORT_FIRST + next++ % PORT_COUNT;
		held = port_bind(SOCK_STREAM, PORT_HOLD_ADDRESS, port);
		if (held == -1)
			continue;
		fd = port_bind(type, INADDR_LOOPBACK, port);
		if (fd != -1)
			break;
		close(held);
	}
	close(fd);
	return port;
}

unsigned int
port_free_tcp(void)
{
	return port_free(SOCK_STREAM);
}

unsigned int
port_free_udp(void)
{
	return port_free(SOCK_DGRAM);
}

unsigned int
port_free_peer(void)
{
	unsigned int port;
	int fd;

	do {
		port = port_free_udp();
		fd = port_bind(SOCK_STREAM, INADDR_LOOPBACK, port);
	} while (fd == -1);
	close(fd);
	return port;
}

char *
dir_temporary(void)
{
	char *dir = g_dir_make_tmp("savorypier-XXXXXX", NULL);

	g_assert_nonnull(dir);
	return dir;
}

void
dir_remove(char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	char *file;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		file = g_build_filename(path, name, NULL);
		g_assert_no_errno(g_unlink(file));
		g_free(file);
	}
	g_dir_close(dir);
	g_assert_no_errno(g_rmdir(path));
	g_free(path);
}
