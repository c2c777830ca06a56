/*
 * server_health.h - the load and health of backend servers as attempts show
 * them (fleet.h).
 */
#ifndef ALMONDTHREAD_ENTRY_SERVER_HEALTH_H
#define ALMONDTHREAD_ENTRY_SERVER_HEALTH_H

#include "entry/base/attempt_events.h"

/*
 * at_server_health_observer() counts attempts at their servers, which stay
 * valid from the first event to the last one. fleet is borrowed.
 */
at_attempt_observer_t at_server_health_observer(at_fleet_t *fleet);

#endif
