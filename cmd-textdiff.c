/*
 * Unified line diff of two texts by Myers' greedy algorithm, which finds the
 * fewest removed and added lines.
 */

#define LOG_PART "diff"
#include "cmd.h"

#include <string.h>

#define CONTEXT_LINES 3
/*
 * The search keeps a row for each edit, so its memory is quadratic. Texts that
 * differ in more lines than this are shown as replaced as a whole.
 */
#define DIFF_EDITS_MAX 2000

struct text_lines {
	char **line;
	int n;
};

/* One line of the result: ' ' in both, '-' only in the old, '+' in the new. */
struct diff_line {
	char sign;
	const char *text;
};

struct diff {
	struct text_lines old, new;
	int **rows; /* furthest x by diagonal, for each number of edits */
	int nrows;
	GArray *out; /* struct diff_line, backwards until reversed */
};

static void
lines_split(struct text_lines *l, const char *text)
{
	l->line = g_strsplit(text, "\n", -1);
	l->n = (int)g_strv_length(l->line);
	/* The newline at the end of a text starts no further line. */
	if (l->n > 0 && *l->line[l->n - 1] == '\0')
		l->n--;
}

static void
diff_add(struct diff *d, char sign, const char *text)
{
	struct diff_line line = { sign, text };

	g_array_append_val(d->out, line);
}

/* The furthest point on diagonal k, after one more edit and equal lines. */
static int
diff_furthest(const struct diff *d, const int *row, int edits, int k)
{
	int x, y;

	if (edits == 0)
		x = 0;
	else if (k == -edits || (k != edits && row[k - 1] < row[k + 1]))
		x = row[k + 1];
	else
		x = row[k - 1] + 1;
	for (y = x - k; x < d->old.n && y < d->new.n; x++, y++) {
		if (strcmp(d->old.line[x], d->new.line[y]) != 0)
			break;
	}
	return x;
}

/* The least number of edits, or -1 when there are too many. */
static int
diff_search(struct diff *d)
{
	int edits, k, *row, *last = NULL;
	int most = MIN(d->old.n + d->new.n, DIFF_EDITS_MAX);

	for (edits = 0; edits <= most; edits++) {
		row = g_new0(int, 2 * (gsize)edits + 3);
		row += edits + 1;
		d->rows[d->nrows++] = row;
		for (k = -edits; k <= edits; k += 2) {
			row[k] = diff_furthest(d, last, edits, k);
			if (row[k] >= d->old.n && row[k] - k >= d->new.n)
				return edits;
		}
		last = row;
	}
	return -1;
}

/* Trace the edits back from the end along the rows. */
static void
diff_trace(struct diff *d, int edits)
{
	int x = d->old.n, y = d->new.n, k, from;
	const int *row;

	for (; edits > 0; edits--) {
		row = d->rows[edits - 1];
		k = x - y;
		if (k == -edits || (k != edits && row[k - 1] < row[k + 1]))
			from = k + 1;
		else
			from = k - 1;
		while (x > row[from] && y > row[from] - from) {
			x--;
			y--;
			diff_add(d, ' ', d->old.line[x]);
		}
		if (from == k + 1)
			diff_add(d, '+', d->new.line[--y]);
		else
			diff_add(d, '-', d->old.line[--x]);
	}
	while (x > 0) {
		x--;
		diff_add(d, ' ', d->old.line[x]);
	}
}

static void
diff_replace(struct diff *d)
{
	int i;

	for (i = d->new.n - 1; i >= 0; i--)
		diff_add(d, '+', d->new.line[i]);
	for (i = d->old.n - 1; i >= 0; i--)
		diff_add(d, '-', d->old.line[i]);
}

/* The result was built from the end, so line i has index len - 1 - i. */
static const struct diff_line *
diff_line(const struct diff *d, guint i)
{
	return &g_array_index(d->out, struct diff_line, d->out->len - 1 - i);
}

/* The end of the hunk with a change at `i`: context without a gap. */
static guint
hunk_end(const struct diff *d, guint i)
{
	guint last = i;

	for (; i < d->out->len && i <= last + 2 * CONTEXT_LINES; i++) {
		if (diff_line(d, i)->sign != ' ')
			last = i;
	}
	return MIN(last + CONTEXT_LINES + 1, d->out->len);
}

static void
hunk_print(const struct diff *d, guint from, guint to, GString *s)
{
	int old = 0, new = 0, nold = 0, nnew = 0;
	guint i;

	for (i = 0; i < to; i++) {
		if (diff_line(d, i)->sign != '+')
			i < from ? old++ : nold++;
		if (diff_line(d, i)->sign != '-')
			i < from ? new ++ : nnew++;
	}
	g_string_append_printf(s, "@@ -%d,%d +%d,%d @@\n",
	    nold > 0 ? old + 1 : old, nold, nnew > 0 ? new + 1 : new, nnew);
	for (i = from; i < to; i++)
		g_string_append_printf(
		    s, "%c%s\n", diff_line(d, i)->sign, diff_line(d, i)->text);
}

static void
diff_print(const struct diff *d, GString *s)
{
	guint i = 0, from, end = 0;

	while (i < d->out->len) {
		if (diff_line(d, i)->sign == ' ') {
			i++;
			continue;
		}
		from = i > end + CONTEXT_LINES ? i - CONTEXT_LINES : end;
		end = hunk_end(d, i);
		hunk_print(d, from, end, s);
		i = end;
	}
}

char *
text_diff(const char *old, const char *new, const char *old_name,
    const char *new_name)
{
	GString *s = g_string_new(NULL);
	struct diff d = { 0 };
	int i, edits;

	if (strcmp(old, new) == 0)
		return g_string_free(s, FALSE);
	lines_split(&d.old, old);
	lines_split(&d.new, new);
	d.rows = g_new0(int *, DIFF_EDITS_MAX + 1);
	d.out = g_array_new(FALSE, FALSE, sizeof(struct diff_line));
	if ((edits = diff_search(&d)) == -1)
		diff_replace(&d);
	else
		diff_trace(&d, edits);
	g_string_printf(s, "--- %s\n+++ %s\n", old_name, new_name);
	diff_print(&d, s);
	for (i = 0; i < d.nrows; i++)
		g_free(d.rows[i] - i - 1);
	g_free(d.rows);
	g_array_free(d.out, TRUE);
	g_strfreev(d.old.line);
	g_strfreev(d.new.line);
	return g_string_free(s, FALSE);
}
