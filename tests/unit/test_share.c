/*
 * Loans between two instances, bucket refunds and the text of the share table.
 * The limit over many instances under faults is tested by fuzz_share.
 */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/share_root.h"

#define RATE 1000u
#define BURST 10000u
#define MESSAGES_MAX 32u

typedef struct pair {
	at_incarnation_t ids[2];
	at_share_t *shares[2];
	struct {
		int from;
		at_share_message_t message;
	} messages[MESSAGES_MAX];
	size_t message_count;
	struct port_ctx {
		struct pair *pair;
		int index;
	} ctx[2];
} pair_t;

static void
on_send(
    void *ctx, const at_incarnation_t *to, const at_share_message_t *message)
{
	struct port_ctx *port_ctx = ctx;
	pair_t *pair = port_ctx->pair;

	(void)to;
	cr_assert_lt(pair->message_count, MESSAGES_MAX);
	pair->messages[pair->message_count].from = port_ctx->index;
	pair->messages[pair->message_count++].message = *message;
}

static void
deliver_all(pair_t *pair, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < pair->message_count; i++) {
		int from = pair->messages[i].from;

		(void)at_share_receive(pair->shares[1 - from], now_ms,
		    &pair->ids[from], &pair->messages[i].message);
	}
	pair->message_count = 0;
}

/* Instance 0 is the coordinator and has the whole; instance 1 has nothing. */
static void
pair_init(pair_t *pair)
{
	int i;

	memset(pair, 0, sizeof(*pair));
	for (i = 0; i < 2; i++) {
		const at_share_port_t port = {on_send, NULL, &pair->ctx[i]};

		pair->ctx[i].pair = pair;
		pair->ctx[i].index = i;
		pair->ids[i].number = (uint64_t)i + 1;
		pair->shares[i] = at_share_new(0, &pair->ids[i], &port);
		at_share_set_limit(pair->shares[i], 0, RATE, BURST);
		at_share_set_coordinator(pair->shares[i], 0, &pair->ids[0]);
	}
	at_share_set_root(pair->shares[0], 0, AT_PPB_WHOLE, 0, 0);
}

static void
pair_delete(pair_t *pair)
{
	at_share_delete(pair->shares[0]);
	at_share_delete(pair->shares[1]);
}

Test(share, instance_without_a_floor_borrows)
{
	pair_t pair;
	at_debit_t *debit;

	pair_init(&pair);
	at_share_advance(pair.shares[0], 20000);
	cr_assert_eq(at_share_admit(pair.shares[1], 20000, 500, &debit),
	    AT_ADMIT_INSUFFICIENT);
	deliver_all(&pair, 20001);
	deliver_all(&pair, 20002);
	cr_assert_eq(
	    at_share_admit(pair.shares[1], 20002, 500, &debit), AT_ADMIT_OK);
	at_share_settle(pair.shares[1], 20002, debit, 500);
	pair_delete(&pair);
}

Test(share, loan_term_starts_when_the_borrower_sends_its_request)
{
	pair_t pair;
	at_share_view_t view;
	at_debit_t *debit;
	const uint64_t requested_ms = 20000;

	pair_init(&pair);
	at_share_advance(pair.shares[0], requested_ms);
	(void)at_share_admit(pair.shares[1], requested_ms, 500, &debit);
	deliver_all(&pair, requested_ms + 1000);
	deliver_all(&pair, requested_ms + 2000);
	at_share_view(pair.shares[1], &view);
	cr_assert_gt(view.own_ppb, 0);
	at_share_advance(pair.shares[1], requested_ms + AT_LOAN_TERM_MS);
	at_share_view(pair.shares[1], &view);
	cr_assert_eq(view.own_ppb, 0);
	cr_assert_gt(at_share_lent_ppb(pair.shares[0]), 0);
	at_share_advance(pair.shares[0],
	    requested_ms + 1000 + at_lender_term_ms(AT_LOAN_TERM_MS));
	cr_assert_eq(at_share_lent_ppb(pair.shares[0]), 0);
	pair_delete(&pair);
}

Test(share, leaving_instance_returns_its_loans)
{
	pair_t pair;
	at_debit_t *debit;

	pair_init(&pair);
	at_share_advance(pair.shares[0], 20000);
	(void)at_share_admit(pair.shares[1], 20000, 500, &debit);
	deliver_all(&pair, 20001);
	deliver_all(&pair, 20002);
	at_share_leave(pair.shares[1], 20003);
	deliver_all(&pair, 20004);
	cr_assert_eq(at_share_lent_ppb(pair.shares[0]), 0);
	pair_delete(&pair);
}

/* A message from instance 1 to instance 0 that must not add level. */
typedef struct level_row {
	at_share_message_t message;
	const char *reason;
} level_row_t;

#define TOKENS_500 ((int64_t)500 * AT_UTOK_PER_TOKEN)

static const level_row_t level_rows[] = {
    {{.kind = AT_SHARE_REQUEST,
	 .seq = 9,
	 .keep_ppb = -1,
	 .level_utok = TOKENS_500},
	"no burst was returned"},
    {{.kind = AT_SHARE_GRANT,
	 .seq = 9,
	 .requested_ms = 1000,
	 .term_ms = 1000,
	 .loan_ppb = AT_PPB_WHOLE / 10,
	 .level_utok = TOKENS_500},
	"no burst was newly lent"},
    {{.kind = AT_SHARE_GRANT,
	 .seq = 9,
	 .requested_ms = 100,
	 .term_ms = 500,
	 .loan_ppb = AT_PPB_WHOLE / 10,
	 .added_ppb = AT_PPB_WHOLE / 10,
	 .level_utok = TOKENS_500},
	"the term is over"},
};

Test(share, level_requires_added_burst)
{
	size_t i;

	for (i = 0; i < sizeof(level_rows) / sizeof(level_rows[0]); i++) {
		at_share_message_t message = level_rows[i].message;
		at_share_view_t before;
		at_share_view_t after;
		pair_t pair;

		pair_init(&pair);
		at_share_set_root(pair.shares[0], 0, AT_PPB_WHOLE / 2, 0, 0);
		at_share_advance(pair.shares[0], 1000);
		at_share_view(pair.shares[0], &before);
		message.from = pair.ids[1].number;
		message.to = pair.ids[0].number;
		(void)at_share_receive(
		    pair.shares[0], 1000, &pair.ids[1], &message);
		at_share_view(pair.shares[0], &after);
		cr_assert_leq(after.level_utok, before.level_utok, "%s",
		    level_rows[i].reason);
		pair_delete(&pair);
	}
}

/*
 * Two instances that both have the whole belong to two fleets with the same
 * secret. Neither may use more than the whole, and neither may abort.
 */
Test(share, grant_beyond_the_whole_is_rejected)
{
	pair_t pair;
	at_share_view_t view;
	at_share_message_t grant = {.kind = AT_SHARE_GRANT,
	    .from = 2,
	    .to = 1,
	    .seq = 1,
	    .requested_ms = 1000,
	    .term_ms = 1000,
	    .loan_ppb = AT_PPB_WHOLE / 2,
	    .added_ppb = AT_PPB_WHOLE / 2};

	pair_init(&pair);
	cr_assert_eq(
	    at_share_receive(pair.shares[0], 1000, &pair.ids[1], &grant), -1);
	at_share_view(pair.shares[0], &view);
	cr_assert_eq(view.own_ppb, AT_PPB_WHOLE);
	cr_assert_eq(view.borrowed_ppb, 0);
	/* Now the grant is applied first and the floor grows later. */
	at_share_set_root(pair.shares[0], 1000, AT_PPB_WHOLE / 2, 0, 0);
	cr_assert_eq(
	    at_share_receive(pair.shares[0], 1000, &pair.ids[1], &grant), 0);
	at_share_set_root(pair.shares[0], 1000, AT_PPB_WHOLE, 0, 0);
	at_share_view(pair.shares[0], &view);
	cr_assert_eq(view.own_ppb, AT_PPB_WHOLE);
	pair_delete(&pair);
}

Test(share, old_request_is_dropped)
{
	at_share_message_t request = {.kind = AT_SHARE_REQUEST,
	    .from = 2,
	    .to = 1,
	    .seq = 2,
	    .keep_ppb = -1,
	    .requested_ppb = 1000};
	pair_t pair;

	pair_init(&pair);
	(void)at_share_receive(pair.shares[0], 1, &pair.ids[1], &request);
	cr_assert_eq(pair.message_count, 1);
	(void)at_share_receive(pair.shares[0], 2, &pair.ids[1], &request);
	request.seq = 1;
	(void)at_share_receive(pair.shares[0], 3, &pair.ids[1], &request);
	cr_assert_eq(pair.message_count, 1);
	pair_delete(&pair);
}

/* 1,000 s on a clock that is 0.1% fast are 999.001 s of true time. */
Test(bucket, fast_clock_does_not_exceed_the_rate)
{
	at_bucket_t *bucket = at_bucket_new(0);
	const int64_t max_utok =
	    (int64_t)RATE * 999001 / 1000 * AT_UTOK_PER_TOKEN;

	at_bucket_set_limit(bucket, RATE, 10000 * BURST);
	at_bucket_set_share(bucket, AT_PPB_WHOLE);
	at_bucket_advance(bucket, 1000000);
	cr_assert_leq(at_bucket_level_utok(bucket), max_utok);
	at_bucket_delete(bucket);
}

typedef struct admit_row {
	uint64_t cost;
	at_admit_t admit;
	uint32_t retry_after_ms;
} admit_row_t;

static const admit_row_t admit_rows[] = {
    {0, AT_ADMIT_OK, 50},
    {4000, AT_ADMIT_OK, 50},
    {9000, AT_ADMIT_INSUFFICIENT, 3001},
    {BURST, AT_ADMIT_OVER_BURST, 4001},
    {BURST + 1, AT_ADMIT_OVER_BURST, 4002},
};

Test(share, returns_when_to_retry)
{
	size_t i;

	for (i = 0; i < sizeof(admit_rows) / sizeof(admit_rows[0]); i++) {
		const admit_row_t *row = &admit_rows[i];
		pair_t pair;
		at_debit_t *debit;

		pair_init(&pair);
		at_share_advance(pair.shares[0], 6007);
		cr_assert_eq(
		    at_share_admit(pair.shares[0], 6007, row->cost, &debit),
		    row->admit, "row %zu", i);
		if (row->admit != AT_ADMIT_OK)
			cr_assert_eq(
			    at_share_retry_after_ms(pair.shares[0], row->cost),
			    row->retry_after_ms, "row %zu: %u", i,
			    at_share_retry_after_ms(pair.shares[0], row->cost));
		pair_delete(&pair);
	}
}

/* A bucket of 10,000 tokens is emptied, refills for idle_ms and is refunded. */
typedef struct refund_row {
	uint64_t idle_ms;
	uint64_t used;
	int64_t refund_tokens; /* rounded down */
} refund_row_t;

static const refund_row_t refund_rows[] = {
    {0, 0, 9999},
    {0, 4000, 5999},
    {5000, 0, 5004},
    {20000, 0, 0},
    {20000, 9999, 0},
};

Test(bucket, refund_is_limited_to_its_refundable_amount)
{
	size_t i;

	for (i = 0; i < sizeof(refund_rows) / sizeof(refund_rows[0]); i++) {
		const refund_row_t *row = &refund_rows[i];
		at_bucket_t *bucket = at_bucket_new(0);
		at_debit_t *debit;

		at_bucket_set_limit(bucket, RATE, BURST);
		at_bucket_set_share(bucket, AT_PPB_WHOLE);
		at_bucket_advance(bucket, 60000);
		debit = at_bucket_debit(bucket, BURST - 1);
		cr_assert_not_null(debit);
		at_bucket_advance(bucket, 60000 + row->idle_ms);
		cr_assert_eq(at_bucket_settle(bucket, debit, row->used) /
				 AT_UTOK_PER_TOKEN,
		    row->refund_tokens, "row %zu", i);
		at_bucket_delete(bucket);
	}
}

typedef struct table_row {
	const char *text;
	int result;
	size_t count;
} table_row_t;

static const table_row_t table_rows[] = {
    {"shares 1\n", 0, 0},
    {"shares 1\na 1 500000000 0 1\nb 2 0 500000000 7\n", 0, 2},
    {"shares 1\na 1 500000000 0 1\nb 2 0 500000001 7\n", -1, 0},
    {"shares 1\na 1 5 0 1\na 1 5 0 1\n", -1, 0},
    {"shares 1\na 1 -5 0 1\n", -1, 0},
    {"shares 1\na 1 5 0 1", -1, 0},
    {"shares 1\na 1 5 0\n", -1, 0},
    {"shares 2\n", -1, 0},
    {"", -1, 0},
};

Test(share_table, parses_only_complete_and_consistent_tables)
{
	size_t i;

	for (i = 0; i < sizeof(table_rows) / sizeof(table_rows[0]); i++) {
		const table_row_t *row = &table_rows[i];
		at_share_table_t table;

		cr_assert_eq(
		    at_share_table_parse(&table, row->text, strlen(row->text)),
		    row->result, "row %zu", i);
		cr_assert_eq(table.count, row->count, "row %zu", i);
		if (row->result == 0) {
			size_t len;
			char *text = at_share_table_format(&table, &len);

			cr_assert_str_eq(text, row->text);
			free(text);
		}
		at_share_table_clear(&table);
	}
}

/* A table in memory; each call is executed and responded to at once. */
typedef struct memory_store {
	char *value;
	size_t len;
	uint64_t version;
} memory_store_t;

static void
memory_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	const memory_store_t *store = impl;
	const at_store_result_t result = {
	    .code = store->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK,
	    .version = store->version,
	    .value = store->value,
	    .value_len = store->len};

	(void)name;
	done(ctx, &result);
}

static void
memory_put(void *impl, const char *name, uint64_t expect, const void *value,
    size_t len, at_store_done_t done, void *ctx)
{
	memory_store_t *store = impl;
	const at_store_result_t result = {
	    .code = AT_STORE_OK, .version = expect + 1};

	(void)name;
	free(store->value);
	store->value = malloc(len);
	memcpy(store->value, value, len);
	store->len = len;
	store->version = expect + 1;
	done(ctx, &result);
}

/*
 * A process that was frozen may handle messages and its stop before its timers:
 * the loans that it has just granted must end before its floor is returned.
 */
Test(share_root, waits_for_loans_granted_after_the_last_tick)
{
	const uint64_t stop_ms = 60000;
	const at_incarnation_t self = {.instance = {.text = "i"}, .number = 7};
	memory_store_t memory = {0};
	const at_store_t store = {memory_get, memory_put, NULL, NULL, &memory};
	at_share_root_t *root = at_share_root_new(0, &self, &store);
	uint64_t t;

	at_share_root_set_instance_counts(root, 1, 1);
	for (t = 0; t < 10; t++)
		at_share_root_tick(root, t, 0);
	cr_assert_not_null(
	    at_share_table_find(at_share_root_table(root), self.number));
	at_share_root_leave(root, stop_ms);
	for (t = stop_ms; t < stop_ms + AT_IDLE_LOAN_TERM_MS; t += 100)
		at_share_root_tick(root, t, 1);
	cr_assert_not(at_share_root_has_left(root));
	for (; t < stop_ms + 2 * AT_IDLE_LOAN_TERM_MS; t += 100)
		at_share_root_tick(root, t, 1);
	cr_assert(at_share_root_has_left(root));
	at_share_root_delete(root);
	free(memory.value);
}
