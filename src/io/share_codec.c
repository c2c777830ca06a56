#include "io/share_codec.h"

#include <assert.h>
#include <string.h>

#include "shares.pb-c.h"

size_t
at_share_pack(const at_name_t *workspace, const at_share_message_t *m,
    uint8_t out[AT_SHARE_BYTES_MAX])
{
	Almondthread__ShareMessage p = ALMONDTHREAD__SHARE_MESSAGE__INIT;

	p.workspace = (char *)(uintptr_t)workspace->text;
	p.kind = (uint32_t)m->kind;
	p.from = m->from;
	p.to = m->to;
	p.seq = m->seq;
	p.asked_ms = m->requested_ms;
	p.ack = m->ack;
	p.keep_ppb = m->keep_ppb;
	p.want_ppb = (uint64_t)m->requested_ppb;
	p.spare_ppb = (uint64_t)m->spare_ppb;
	p.level_utok = (uint64_t)m->level_utok;
	p.need_utok = (uint64_t)m->requested_utok;
	p.loan_ppb = (uint64_t)m->loan_ppb;
	p.added_ppb = (uint64_t)m->added_ppb;
	p.term_ms = m->term_ms;
	p.ask_seq = m->request_seq;
	p.more = m->has_more != 0;
	assert(almondthread__share_message__get_packed_size(&p) <=
	       AT_SHARE_BYTES_MAX);
	return almondthread__share_message__pack(&p, out);
}

/* Values that no sender makes become negative, which a share drops. */
static void
copy_message(const Almondthread__ShareMessage *p, at_share_message_t *m)
{
	m->kind = (at_share_kind_t)p->kind;
	m->from = p->from;
	m->to = p->to;
	m->seq = p->seq;
	m->requested_ms = p->asked_ms;
	m->ack = p->ack;
	m->keep_ppb = p->keep_ppb;
	m->requested_ppb = (int64_t)p->want_ppb;
	m->spare_ppb = (int64_t)p->spare_ppb;
	m->level_utok = (int64_t)p->level_utok;
	m->requested_utok = (int64_t)p->need_utok;
	m->loan_ppb = (int64_t)p->loan_ppb;
	m->added_ppb = (int64_t)p->added_ppb;
	m->term_ms = p->term_ms;
	m->request_seq = p->ask_seq;
	m->has_more = (uint32_t)p->more;
}

int
at_share_unpack(
    const void *data, size_t len, at_name_t *workspace, at_share_message_t *m)
{
	Almondthread__ShareMessage *p =
	    almondthread__share_message__unpack(NULL, len, data);
	int result = -1;

	if (p == NULL)
		return -1;
	if (p->kind < AT_SHARE_KIND_COUNT &&
	    at_name_set(workspace, p->workspace) == 0) {
		copy_message(p, m);
		result = 0;
	}
	almondthread__share_message__free_unpacked(p, NULL);
	return result;
}
