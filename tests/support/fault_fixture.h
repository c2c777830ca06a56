/*
 * fault_fixture.h - a fleet for requests under faults: engine e1 with model m1,
 * service s1 of "desk" and one instance n1. Routes: GET /slots is
 * repeatable and open, POST /charges is once and needs the key.
 */
#ifndef ALMONDTHREAD_TESTS_FAULT_FIXTURE_H
#define ALMONDTHREAD_TESTS_FAULT_FIXTURE_H

#include "support/fixture.h"

#define FAULT_FIXTURE_CHAT_PATH "/v1/chat/completions"
#define FAULT_FIXTURE_CHAT "{\"model\":\"m1\",\"max_tokens\":8,\"messages\":[]}"
#define FAULT_FIXTURE_CHAT_STREAM                             \
	"{\"model\":\"m1\",\"max_tokens\":8,\"stream\":true," \
	"\"messages\":[]}"
#define FAULT_FIXTURE_NO_FAULTS                                    \
	"{\"crossed\":0,\"truncate_after\":0,\"shorten\":0,"       \
	"\"break_whole\":0,\"refuse\":0,\"crash\":0,\"silent\":0," \
	"\"lose_replies\":0,\"delay_ms\":0,\"token_us\":2000}"
#define FAULT_FIXTURE_FIRST_BYTE_MS 1000u    /* limit of the fleet */
#define FAULT_FIXTURE_CALL_TIMEOUT_MS 20000u /* longest wait for an answer */

/* fault_fixture_new() puts the service behind a new relay unless relay is NULL.
 */
fixture_t *fault_fixture_new(standin_relay_t **relay);

/* fault_fixture_send() asks n1 with the key; header may be NULL. */
void fault_fixture_send(fixture_t *f, fixture_response_t *response,
    const char *method, const char *path, const char *header, const char *body);
fixture_response_t fault_fixture_call(fixture_t *f, const char *method,
    const char *path, const char *header, const char *body);
int fault_fixture_is_done(void *response);

/* fault_fixture_get_counter() reads a counter of n1. */
uint64_t fault_fixture_get_counter(
    fixture_t *f, const char *name, const char *label, const char *value);

/* fault_fixture_get_engine_field() reads a field of e1's status. */
uint64_t fault_fixture_get_engine_field(fixture_t *f, const char *field);

/* fault_fixture_count_executions() counts what e1 and s1 truly ran. */
uint64_t fault_fixture_count_executions(fixture_t *f);

#endif
