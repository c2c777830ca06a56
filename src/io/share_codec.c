#include "io/share_codec.h"

#include <assert.h>
#include <string.h>

#include "shares.pb-c.h"

size_t
at_share_pack(const at_name_t *workspace, const at_share_message_t *message,
    uint8_t out[AT_SHARE_BYTES_MAX])
{
	Almondthread__ShareMessage packed = ALMONDTHREAD__SHARE_MESSAGE__INIT;

	packed.workspace = (char *)(uintptr_t)workspace->text;
	packed.kind = (uint32_t)message->kind;
	packed.from = message->from;
	packed.to = message->to;
	packed.seq = message->seq;
	packed.asked_ms = message->requested_ms;
	packed.ack = message->ack;
	packed.keep_ppb = message->keep_ppb;
	packed.want_ppb = (uint64_t)message->requested_ppb;
	packed.spare_ppb = (uint64_t)message->spare_ppb;
	packed.level_utok = (uint64_t)message->level_utok;
	packed.need_utok = (uint64_t)message->requested_utok;
	packed.loan_ppb = (uint64_t)message->loan_ppb;
	packed.added_ppb = (uint64_t)message->added_ppb;
	packed.term_ms = message->term_ms;
	packed.ask_seq = message->request_seq;
	packed.more = message->has_more != 0;
	assert(almondthread__share_message__get_packed_size(&packed) <=
	       AT_SHARE_BYTES_MAX);
	return almondthread__share_message__pack(&packed, out);
}

/*
 * Values above INT64_MAX, which no instance sends, become negative;
 * at_share_receive() ignores such messages.
 */
static void
copy_message(
    const Almondthread__ShareMessage *packed, at_share_message_t *message)
{
	message->kind = (at_share_kind_t)packed->kind;
	message->from = packed->from;
	message->to = packed->to;
	message->seq = packed->seq;
	message->requested_ms = packed->asked_ms;
	message->ack = packed->ack;
	message->keep_ppb = packed->keep_ppb;
	message->requested_ppb = (int64_t)packed->want_ppb;
	message->spare_ppb = (int64_t)packed->spare_ppb;
	message->level_utok = (int64_t)packed->level_utok;
	message->requested_utok = (int64_t)packed->need_utok;
	message->loan_ppb = (int64_t)packed->loan_ppb;
	message->added_ppb = (int64_t)packed->added_ppb;
	message->term_ms = packed->term_ms;
	message->request_seq = packed->ask_seq;
	message->has_more = (uint32_t)packed->more;
}

int
at_share_unpack(const void *data, size_t len, at_name_t *workspace,
    at_share_message_t *message)
{
	Almondthread__ShareMessage *packed =
	    almondthread__share_message__unpack(NULL, len, data);
	int result = -1;

	if (packed == NULL)
		return -1;
	if (packed->kind < AT_SHARE_KIND_COUNT &&
	    at_name_set(workspace, packed->workspace) == 0) {
		copy_message(packed, message);
		result = 0;
	}
	almondthread__share_message__free_unpacked(packed, NULL);
	return result;
}
