/*
 * status.h - result of an operation: a code and the last message.
 */
#ifndef ALMONDTHREAD_STATUS_H
#define ALMONDTHREAD_STATUS_H

#define AT_STATUS_MESSAGE_SIZE 256u /* bytes, with the NUL */

typedef enum at_code {
	AT_OK,
	AT_INVALID,     /* the input violates a documented rule */
	AT_NOT_FOUND,   /* the object does not exist */
	AT_CONFLICT,    /* it was changed concurrently */
	AT_UNAVAILABLE, /* the peer cannot be reached */
	AT_EXHAUSTED,   /* a documented limit was reached */
	AT_FAILED,      /* a library or system call failed */
	AT_CODE_COUNT
} at_code_t;

/* Names of codes, indexed by at_code_t. */
extern const char *const at_code_names[];

typedef struct at_status {
	at_code_t code;
	char message[AT_STATUS_MESSAGE_SIZE];
} at_status_t;

/* at_status_clear() sets AT_OK and an empty message. */
void at_status_clear(at_status_t *status);

/*
 * at_status_set() stores code and a formatted message, truncated to fit.
 * Returns code. status may be NULL.
 */
at_code_t at_status_set(at_status_t *status, at_code_t code, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

#endif
