/*
 * once_fixture.h - a fleet for work that must not run twice: service s1 of "desk"
 * and instances n1 and n2 in the north, n3 in the south. Routes: GET /slots
 * is repeatable and open; POST /charges is once, POST /notices repeatable
 * and overnight; both need the key.
 */
#ifndef ALMONDTHREAD_TESTS_CHARGES_H
#define ALMONDTHREAD_TESTS_CHARGES_H

#include "support/fixture.h"

#define CHARGES_BODY "{\"amount\":5}"

fixture_t *charges_new(void);

/* charges_add_node() starts one more instance and waits until it serves. */
void charges_add_node(fixture_t *f, const char *name, const char *data_centre);

/* charges_end_node() ends a node at once; the platform delists it. */
void charges_end_node(fixture_t *f, size_t node);

/* charges_replace_all() ends n1 to n3 unplanned and adds n4 and n5. */
void charges_replace_all(fixture_t *f);

/* charges_send() asks an instance with the key; header may be NULL. */
void charges_send(fixture_t *f, fixture_answer_t *answer, size_t node,
    const char *method, const char *path, const char *const header[2],
    const char *body);
fixture_answer_t charges_call(fixture_t *f, size_t node, const char *method,
    const char *path, const char *const header[2], const char *body);

/* charges_executions() counts what the service truly ran. */
uint64_t charges_executions(fixture_t *f);

/* charges_expect() checks an answer and frees it. */
void charges_expect(fixture_answer_t *a, int status, const char *contains);

#endif
