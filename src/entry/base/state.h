/* state.h - the states of an entry instance from its start to its end. */
#ifndef ALMONDTHREAD_ENTRY_STATE_H
#define ALMONDTHREAD_ENTRY_STATE_H

typedef enum at_entry_state {
	AT_ENTRY_STARTING,
	AT_ENTRY_SERVING,
	AT_ENTRY_DRAINING,  /* until the balancer sends no more requests */
	AT_ENTRY_LINGERING, /* few others serve: short requests are taken */
	AT_ENTRY_STOPPING,  /* no new connections are accepted */
	AT_ENTRY_STATE_COUNT
} at_entry_state_t;

#endif
