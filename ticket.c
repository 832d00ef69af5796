/*
 * Tickets; see ticket.h. The text form is the base64url encoding of a header of
 * fixed size, the node's name and a truncated HMAC-SHA256 over both.
 *
 * Serial numbers increase with time, so used tickets are recorded in blocks of
 * consecutive serial numbers, and the oldest blocks are dropped first. A ticket
 * takes no memory until it is used. Tickets with a serial number below
 * `min_serial` are not recorded and count as expired, so none of them is
 * executed twice.
 */

#define LOG_PART "ticket"
#include "ticket.h"
#include "mac.h"

#include <string.h>

#define TICKET_FORMAT 1
/* Format, incarnation, serial, time of issue, organisation, length of name. */
#define TICKET_HEAD_SIZE (1 + 8 + 8 + 8 + 8 + 1)
#define TICKET_RAW_MAX (TICKET_HEAD_SIZE + NAME_LEN + MAC_SIZE)
/* Domain separation from the MACs of messages under the same key. */
#define TICKET_PURPOSE "savorypier ticket"

#define TICKET_BLOCK_SIZE 32

/* The used tickets among TICKET_BLOCK_SIZE consecutive serial numbers. */
struct ticket_block {
	RB_ENTRY(ticket_block) entry;
	uint64_t number; /* serial / TICKET_BLOCK_SIZE */
	msec issued;	 /* latest time of issue of a used ticket */
	uint32_t used;	 /* one bit per serial */
	uint64_t body[TICKET_BLOCK_SIZE]; /* hashes */
};
RB_HEAD(ticket_block_tree, ticket_block);

struct ticket_registry_data {
	struct ticket_block_tree blocks;
	unsigned int nblocks;
	uint64_t next; /* serial number of the next ticket */
	uint64_t min_serial;
};

/* A decoded ticket, with the time of issue that only its issuer reads. */
struct ticket_decoded {
	struct ticket ticket;
	msec issued;
};

static int ticket_block_compare(struct ticket_block *, struct ticket_block *);
static void
ticket_mac(const char *, const uint8_t *, size_t, uint8_t[MAC_SIZE]);
static uint8_t *ticket_put(uint8_t *, uint64_t);
static const uint8_t *ticket_get(const uint8_t *, uint64_t *);
static void ticket_encode_text(const uint8_t *, size_t, char[TICKET_SIZE]);
static uint8_t *ticket_decode_text(const char *, size_t *);
static bool ticket_parse(const char *, const char *, struct ticket_decoded *);
static struct ticket_block *
ticket_block_find(const struct ticket_registry_data *, uint64_t);
static struct ticket_block *
ticket_block_get(struct ticket_registry_data *, uint64_t);
static void
ticket_block_drop(struct ticket_registry_data *, struct ticket_block *);
static void ticket_evict(struct ticket_registry_data *);
static void ticket_record_use(
    struct ticket_registry *, const struct ticket_decoded *, uint64_t);

RB_PROTOTYPE(ticket_block_tree, ticket_block, entry, ticket_block_compare)
RB_GENERATE(ticket_block_tree, ticket_block, entry, ticket_block_compare)

static int
ticket_block_compare(struct ticket_block *a, struct ticket_block *b)
{
	if (a->number == b->number)
		return 0;
	return a->number < b->number ? -1 : 1;
}

void
ticket_registry_init(struct ticket_registry *b, const char *node,
    uint64_t incarnation, const char *key)
{
	memset(b, 0, sizeof *b);
	g_strlcpy(b->node, node, sizeof b->node);
	b->incarnation = incarnation;
	b->key = key;
	b->priv = g_new0(struct ticket_registry_data, 1);
	RB_INIT(&b->priv->blocks);
}

void
ticket_registry_finish(struct ticket_registry *b)
{
	struct ticket_block *block;

	while ((block = RB_MIN(ticket_block_tree, &b->priv->blocks)) != NULL)
		ticket_block_drop(b->priv, block);
	g_free(b->priv);
	b->priv = NULL;
}

static void
ticket_mac(
    const char *key, const uint8_t *data, size_t len, uint8_t out[MAC_SIZE])
{
	const struct mac_part parts[] = {
		{ TICKET_PURPOSE, strlen(TICKET_PURPOSE) }, { data, len }
	};

	mac_sum(key, parts, G_N_ELEMENTS(parts), out);
}

static uint8_t *
ticket_put(uint8_t *p, uint64_t v)
{
	v = GUINT64_TO_BE(v);
	memcpy(p, &v, sizeof v);
	return p + sizeof v;
}

static const uint8_t *
ticket_get(const uint8_t *p, uint64_t *v)
{
	memcpy(v, p, sizeof *v);
	*v = GUINT64_FROM_BE(*v);
	return p + sizeof *v;
}

static void
ticket_encode_text(const uint8_t *raw, size_t len, char text[TICKET_SIZE])
{
	g_autofree char *base64 = g_base64_encode(raw, len);

	g_strdelimit(base64, "+", '-');
	g_strdelimit(base64, "/", '_');
	base64[strcspn(base64, "=")] = '\0';
	g_strlcpy(text, base64, TICKET_SIZE);
}

void
ticket_issue(struct ticket_registry *b, msec now, name_id organisation,
    char text[TICKET_SIZE])
{
	size_t n = strlen(b->node);
	uint8_t raw[TICKET_RAW_MAX], *p = raw;

	*p++ = TICKET_FORMAT;
	p = ticket_put(p, b->incarnation);
	p = ticket_put(p, b->priv->next++);
	p = ticket_put(p, (uint64_t)now);
	p = ticket_put(p, organisation);
	*p++ = (uint8_t)n;
	memcpy(p, b->node, n);
	p += n;
	ticket_mac(b->key, raw, (size_t)(p - raw), p);
	ticket_encode_text(raw, (size_t)(p - raw) + MAC_SIZE, text);
}

/* Decode base64url; NULL if the text has characters outside its alphabet. */
static uint8_t *
ticket_decode_text(const char *text, size_t *len)
{
	static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "abcdefghijklmnopqrstuvwxyz0123456789-_";
	size_t n = strnlen(text, TICKET_SIZE);
	char padded[TICKET_SIZE + 4];
	gsize out = 0;
	uint8_t *raw;

	if (n == 0 || n >= TICKET_SIZE || n % 4 == 1 ||
	    strspn(text, letters) != n)
		return NULL;
	memcpy(padded, text, n);
	while (n % 4 != 0)
		padded[n++] = '=';
	padded[n] = '\0';
	g_strdelimit(padded, "-", '+');
	g_strdelimit(padded, "_", '/');
	raw = g_base64_decode(padded, &out);
	*len = out;
	return raw;
}

static bool
ticket_parse(const char *text, const char *key, struct ticket_decoded *out)
{
	g_autofree uint8_t *raw = NULL;
	uint8_t mac[MAC_SIZE];
	char again[TICKET_SIZE];
	const uint8_t *p;
	uint64_t issued;
	size_t len, n;

	memset(out, 0, sizeof *out);
	if ((raw = ticket_decode_text(text, &len)) == NULL)
		return false;
	if (len < TICKET_HEAD_SIZE + 1 + MAC_SIZE || len > TICKET_RAW_MAX)
		return false;
	len -= MAC_SIZE;
	ticket_mac(key, raw, len, mac);
	if (!mac_equal(mac, raw + len) || raw[0] != TICKET_FORMAT)
		return false;
	/*
	 * Accept only the canonical text: base64 decoders ignore the unused
	 * bits of the last character, so other texts would decode as well.
	 */
	ticket_encode_text(raw, len + MAC_SIZE, again);
	if (strcmp(text, again) != 0)
		return false;
	p = ticket_get(raw + 1, &out->ticket.incarnation);
	p = ticket_get(p, &out->ticket.serial);
	p = ticket_get(p, &issued);
	p = ticket_get(p, &out->ticket.organisation);
	out->issued = (msec)issued;
	n = *p++;
	if (n != len - TICKET_HEAD_SIZE)
		return false;
	memcpy(out->ticket.node, p, n);
	return name_valid(out->ticket.node);
}

static struct ticket_block *
ticket_block_find(const struct ticket_registry_data *d, uint64_t serial)
{
	struct ticket_block find;

	find.number = serial / TICKET_BLOCK_SIZE;
	return RB_FIND(
	    ticket_block_tree, (struct ticket_block_tree *)&d->blocks, &find);
}

static void
ticket_block_drop(struct ticket_registry_data *d, struct ticket_block *block)
{
	RB_REMOVE(ticket_block_tree, &d->blocks, block);
	d->nblocks--;
	g_free(block);
}

static struct ticket_block *
ticket_block_get(struct ticket_registry_data *d, uint64_t serial)
{
	struct ticket_block *block, *old;

	block = g_new0(struct ticket_block, 1);
	block->number = serial / TICKET_BLOCK_SIZE;
	if ((old = RB_INSERT(ticket_block_tree, &d->blocks, block)) != NULL) {
		g_free(block);
		return old;
	}
	d->nblocks++;
	return block;
}

/* Tickets below `min_serial` have expired, so their uses need no record. */
static void
ticket_evict(struct ticket_registry_data *d)
{
	struct ticket_block *block;

	if (d->nblocks <= TICKET_BLOCKS_MAX)
		return;
	log_debug("too many used tickets, the oldest expire early");
	block = RB_MIN(ticket_block_tree, &d->blocks);
	d->min_serial =
	    MAX(d->min_serial, (block->number + 1) * TICKET_BLOCK_SIZE);
	ticket_block_drop(d, block);
}

static void
ticket_record_use(
    struct ticket_registry *b, const struct ticket_decoded *t, uint64_t body)
{
	struct ticket_block *block =
	    ticket_block_get(b->priv, t->ticket.serial);
	unsigned int i = t->ticket.serial % TICKET_BLOCK_SIZE;

	block->used |= 1U << i;
	block->body[i] = body;
	block->issued = MAX(block->issued, t->issued);
	ticket_evict(b->priv);
}

enum ticket_verdict
ticket_use(struct ticket_registry *b, msec now, const char *text,
    name_id organisation, uint64_t body, struct ticket *out)
{
	struct ticket_registry_data *d = b->priv;
	const struct ticket_block *block;
	struct ticket_decoded t;
	unsigned int i;

	if (!ticket_parse(text, b->key, &t)) {
		memset(out, 0, sizeof *out);
		return TICKET_INVALID;
	}
	*out = t.ticket;
	if (out->organisation != organisation)
		return TICKET_OTHER_ORGANISATION;
	if (strcmp(out->node, b->node) != 0)
		return TICKET_OTHER_NODE;
	if (out->incarnation != b->incarnation)
		return TICKET_OLD_INCARNATION;
	if (out->serial >= d->next)
		return TICKET_INVALID;
	i = out->serial % TICKET_BLOCK_SIZE;
	block = ticket_block_find(d, out->serial);
	if (block != NULL && (block->used & (1U << i)) != 0)
		return block->body[i] == body ? TICKET_USED : TICKET_OTHER_BODY;
	if (now - t.issued >= TICKET_LIFETIME || out->serial < d->min_serial)
		return TICKET_EXPIRED;
	ticket_record_use(b, &t, body);
	return TICKET_RUN;
}

void
ticket_mark_unused(struct ticket_registry *b, const char *text)
{
	struct ticket_block *block;
	struct ticket_decoded t;

	if (!ticket_parse(text, b->key, &t))
		return;
	block = ticket_block_find(b->priv, t.ticket.serial);
	if (block != NULL)
		block->used &= ~(1U << (t.ticket.serial % TICKET_BLOCK_SIZE));
}

void
ticket_registry_tick(struct ticket_registry *b, msec now)
{
	struct ticket_registry_data *d = b->priv;
	struct ticket_block *block;

	while ((block = RB_MIN(ticket_block_tree, &d->blocks)) != NULL) {
		if (now - block->issued < TICKET_LIFETIME)
			return;
		ticket_block_drop(d, block);
	}
}

size_t
ticket_registry_memory(const struct ticket_registry *b)
{
	return sizeof *b->priv + b->priv->nblocks * sizeof(struct ticket_block);
}
