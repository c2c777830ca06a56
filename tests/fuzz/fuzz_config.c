/*
 * Any bytes as a configuration document: it is rejected with a message, or it
 * is accepted and the service of each route exists.
 * check-args: -seed=1 -runs=200000 -max_len=512
 */
#include <stdlib.h>
#include <string.h>

#include "almondthread/config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	at_status_t status;
	at_config_t *config;
	size_t i;

	at_status_clear(&status);
	config = at_config_parse((const char *)data, size, &status);
	if (config == NULL) {
		if (status.message[0] == '\0')
			abort();
		return 0;
	}
	for (i = 0; i < config->route_count; i++) {
		if (at_config_find_service(
			config, config->routes[i].service.text) == NULL)
			abort();
	}
	at_config_delete(config);
	return 0;
}
