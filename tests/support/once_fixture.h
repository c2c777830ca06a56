/*
 * once_fixture.h - a fleet for tests of requests that must not run twice.
 * Backend server s1 runs the service "desk"; the instances n1 and n2 are in
 * the data centre "north" and n3 is in "south". Routes:
 *
 *   GET /slots     repeatable, needs no key
 *   POST /charges  runs at most once, needs the key
 *   POST /notices  repeatable, priority "overnight", needs the key
 */
#ifndef ALMONDTHREAD_TESTS_ONCE_FIXTURE_H
#define ALMONDTHREAD_TESTS_ONCE_FIXTURE_H

#include "support/fixture.h"

#define ONCE_FIXTURE_BODY "{\"amount\":5}"

/*
 * once_fixture_new() starts the fleet and waits until it is ready. The caller
 * frees it with fixture_delete().
 */
fixture_t *once_fixture_new(void);

/*
 * once_fixture_add_node() starts one more instance and waits until it is ready,
 * knows s1 and has a share of the workspace's rate. Fails the test on time-out.
 */
void once_fixture_add_node(
    fixture_t *fixture, const char *name, const char *data_centre);

/*
 * once_fixture_remove_node() deletes an instance without a planned stop and
 * removes it from the platform's instance list.
 */
void once_fixture_remove_node(fixture_t *fixture, size_t node);

/*
 * once_fixture_replace_all() removes n1 to n3 without a planned stop and then
 * adds n4 in "north" and n5 in "south".
 */
void once_fixture_replace_all(fixture_t *fixture);

/*
 * once_fixture_send() starts a request with the key to the instance with index
 * node. header has up to two more header lines, ends with NULL if there is only
 * one, and may be NULL. once_fixture_call() also waits for the end; it fails
 * the test after 20 s.
 */
void once_fixture_send(fixture_t *fixture, fixture_response_t *response,
    size_t node, const char *method, const char *path,
    const char *const header[2], const char *body);
fixture_response_t once_fixture_call(fixture_t *fixture, size_t node,
    const char *method, const char *path, const char *const header[2],
    const char *body);

/* once_fixture_count_executions() returns how many requests s1 executed. */
uint64_t once_fixture_count_executions(fixture_t *fixture);

/*
 * once_fixture_check_response() asserts the status and that the body contains
 * a text, then frees the response.
 */
void once_fixture_check_response(
    fixture_response_t *response, int status, const char *contains);

#endif
