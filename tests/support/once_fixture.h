/*
 * once_fixture.h - a fleet for work that must not run twice: service s1 of
 * "desk" and instances n1 and n2 in the north, n3 in the south. Routes: GET
 * /slots is repeatable and open; POST /charges is once, POST /notices
 * repeatable and overnight; both need the key.
 */
#ifndef ALMONDTHREAD_TESTS_ONCE_FIXTURE_H
#define ALMONDTHREAD_TESTS_ONCE_FIXTURE_H

#include "support/fixture.h"

#define ONCE_FIXTURE_BODY "{\"amount\":5}"

fixture_t *once_fixture_new(void);

/* once_fixture_add_node() starts one more instance and waits until it serves.
 */
void once_fixture_add_node(
    fixture_t *f, const char *name, const char *data_centre);

/* once_fixture_remove_node() ends a node at once; the platform delists it. */
void once_fixture_remove_node(fixture_t *f, size_t node);

/* once_fixture_replace_all() ends n1 to n3 unplanned and adds n4 and n5. */
void once_fixture_replace_all(fixture_t *f);

/* once_fixture_send() asks an instance with the key; header may be NULL. */
void once_fixture_send(fixture_t *f, fixture_response_t *response, size_t node,
    const char *method, const char *path, const char *const header[2],
    const char *body);
fixture_response_t once_fixture_call(fixture_t *f, size_t node,
    const char *method, const char *path, const char *const header[2],
    const char *body);

/* once_fixture_count_executions() counts what the service truly ran. */
uint64_t once_fixture_count_executions(fixture_t *f);

/* once_fixture_check_response() checks an answer and frees it. */
void once_fixture_check_response(
    fixture_response_t *a, int status, const char *contains);

#endif
