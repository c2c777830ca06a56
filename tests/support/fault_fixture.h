/*
 * fault_fixture.h - a fleet for requests under faults: engine e1 with model m1,
 * service s1 of "desk" and one instance n1. Routes: GET /slots is
 * repeatable and open, POST /charges is once and needs the key.
 */
#ifndef ALMONDTHREAD_TESTS_DESK_H
#define ALMONDTHREAD_TESTS_DESK_H

#include "support/fixture.h"

#define DESK_CHAT "/v1/chat/completions"
#define DESK_WHOLE "{\"model\":\"m1\",\"max_tokens\":8,\"messages\":[]}"
#define DESK_STREAM                                           \
	"{\"model\":\"m1\",\"max_tokens\":8,\"stream\":true," \
	"\"messages\":[]}"
#define DESK_NO_FAULTS                                             \
	"{\"crossed\":0,\"truncate_after\":0,\"shorten\":0,"       \
	"\"break_whole\":0,\"refuse\":0,\"crash\":0,\"silent\":0," \
	"\"lose_replies\":0,\"delay_ms\":0,\"token_us\":2000}"
#define DESK_FIRST_BYTE_MS 1000u /* limit of the fleet */
#define DESK_CALL_MS 20000u      /* longest wait for an answer */

/* desk_new() puts the service behind a new relay unless relay is NULL. */
fixture_t *desk_new(standin_relay_t **relay);

/* desk_send() asks n1 with the key; header may be NULL. */
void desk_send(fixture_t *f, fixture_answer_t *answer, const char *method,
    const char *path, const char *header, const char *body);
fixture_answer_t desk_call(fixture_t *f, const char *method, const char *path,
    const char *header, const char *body);
int desk_is_done(void *answer);

/* desk_counter() reads a counter of n1. */
uint64_t desk_counter(
    fixture_t *f, const char *name, const char *label, const char *value);

/* desk_engine_number() reads a field of e1's status. */
uint64_t desk_engine_number(fixture_t *f, const char *field);

/* desk_executions() counts what e1 and s1 truly ran. */
uint64_t desk_executions(fixture_t *f);

#endif
