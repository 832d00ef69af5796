/*
 * Messages between nodes of a test; see util-mail.h.
 */

#include "util-mail.h"

#include <string.h>

#define MAIL_LEAST_MS 1
#define MAIL_MOST_MS 3

struct parcel {
	void *from, *to;
	msec due;
	u_int size;
	char bytes[2048];
};

void
mail_init(struct mail *m, GRand *rand)
{
	*m = (struct mail){ .rand = rand };
	g_queue_init(&m->queue);
}

void
mail_finish(struct mail *m)
{
	g_queue_clear_full(&m->queue, g_free);
}

void
mail_send(struct mail *m, msec now, void *from, void *to, const sp_msg *msg)
{
	struct parcel *p;
	XDR x;

	m->sent++;
	if ((unsigned int)g_rand_int_range(m->rand, 0, 1000) < m->lost_permille)
		return;
	p = g_new0(struct parcel, 1);
	p->from = from;
	p->to = to;
	p->due =
	    now + g_rand_int_range(m->rand, MAIL_LEAST_MS, MAIL_MOST_MS + 1);
	xdrmem_create(&x, p->bytes, sizeof p->bytes, XDR_ENCODE);
	/* An encoder only reads; its signature serves both directions. */
	if (!xdr_sp_msg(&x, (sp_msg *)msg))
		g_error("a message of kind %d cannot be encoded", msg->kind);
	p->size = xdr_getpos(&x);
	m->bytes += p->size;
	xdr_destroy(&x);
	g_queue_push_tail(&m->queue, p);
}

static void
parcel_open(struct parcel *p, mail_fn fn)
{
	sp_msg msg;
	XDR x;

	memset(&msg, 0, sizeof msg);
	xdrmem_create(&x, p->bytes, p->size, XDR_DECODE);
	if (!xdr_sp_msg(&x, &msg))
		g_error("a message cannot be decoded");
	xdr_destroy(&x);
	fn(p->from, p->to, &msg);
	xdr_free((xdrproc_t)xdr_sp_msg, (char *)&msg);
}

void
mail_deliver(struct mail *m, msec now, mail_fn fn)
{
	GList *l = m->queue.head, *next;
	struct parcel *p;

	for (; l != NULL; l = next) {
		next = l->next;
		p = l->data;
		if (now < p->due)
			continue;
		g_queue_delete_link(&m->queue, l);
		parcel_open(p, fn);
		g_free(p);
	}
}
