/*
 * 8 instances, a platform, and operators who add and revoke keys, with loss,
 * duplication and reordering of messages, partitions, restarts and invalid
 * documents.
 *
 * Checked at each step: the generation in force at an instance only increases
 * until the instance restarts; it is one that the operators published; a key
 * revoked in a generation is not accepted by an instance that has that
 * generation or a newer one in force, unless it was added again. After the end
 * of all faults, all instances have the newest generation in force.
 *
 * check-args: -seed=1 -runs=20000 -len_control=0 -max_len=4096
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/document_sync.h"
#include "almondthread/ports.h"

#define INSTANCES 8
#define KEYS 8
#define GENERATIONS_MAX 512
#define MESSAGES_MAX 64
#define STEP_MS 50u
#define OPERATIONS_MIN 90 /* in one run */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The published generations, with the keys of each as a bit mask. */
typedef struct oracle {
	uint32_t keys[GENERATIONS_MAX];
	uint8_t is_invalid[GENERATIONS_MAX]; /* its document is not valid */
	uint64_t newest;
} oracle_t;

typedef struct instance {
	at_document_sync_t *sync;
	uint64_t in_force; /* generation; 0: none */
	uint32_t keys;
	int is_cut_from_platform;
	uint8_t is_cut_from[INSTANCES];
} instance_t;

typedef enum message_kind {
	MESSAGE_HEARTBEAT,
	MESSAGE_REQUEST,
	MESSAGE_UPDATE,
	MESSAGE_PLATFORM
} message_kind_t;

typedef struct message {
	message_kind_t kind;
	int from; /* INSTANCES: the platform */
	int to;
	uint64_t version;
	uint64_t base;
	char *base_text; /* UPDATE: the text at base, or NULL */
	char *text;
} message_t;

typedef struct simulation {
	const uint8_t *data;
	size_t size;
	at_rng_t rng;
	oracle_t oracle;
	instance_t instances[INSTANCES];
	message_t messages[MESSAGES_MAX];
	size_t message_count;
	uint64_t now_ms;
} simulation_t;

static simulation_t simulation;

static void
fail(const char *message)
{
	(void)fprintf(stderr, "fuzz_document_sync: %s\n", message);
	abort();
}

/*
 * Returns the document of a generation, "GENERATION{g}{key 0}{key 3}...", which
 * the caller frees. An invalid document ends with '!'.
 */
static char *
format_document(uint64_t generation)
{
	const oracle_t *oracle = &simulation.oracle;
	char *text = malloc(256);
	int len =
	    snprintf(text, 256, "%llu{g}", (unsigned long long)generation);
	int k;

	for (k = 0; k < KEYS; k++) {
		if (oracle->keys[generation] & 1u << k)
			len += snprintf(
			    text + len, 256 - (size_t)len, "{key %d}", k);
	}
	if (oracle->is_invalid[generation])
		(void)snprintf(text + len, 256 - (size_t)len, "!");
	return text;
}

/* A parsed document. */
typedef struct parsed {
	uint64_t generation;
	uint32_t keys;
} parsed_t;

static void *
parse(void *impl, const char *text, size_t len, uint64_t *version)
{
	parsed_t *parsed;
	const char *at = text;

	(void)impl;
	if (len == 0 || text[len - 1] == '!')
		return NULL;
	parsed = calloc(1, sizeof(*parsed));
	parsed->generation = strtoull(text, NULL, 10);
	while ((at = strstr(at, "{key ")) != NULL) {
		at += strlen("{key ");
		parsed->keys |= 1u << (*at - '0');
	}
	*version = parsed->generation;
	return parsed;
}

static void
apply_document(void *impl, void *object)
{
	instance_t *instance = impl;
	parsed_t *parsed = object;
	const oracle_t *oracle = &simulation.oracle;

	if (parsed->generation <= instance->in_force)
		fail("an older generation was applied");
	if (parsed->generation > oracle->newest ||
	    oracle->is_invalid[parsed->generation])
		fail("an unpublished or invalid generation was applied");
	if (parsed->keys != oracle->keys[parsed->generation])
		fail("keys differ from those of the generation");
	instance->in_force = parsed->generation;
	instance->keys = parsed->keys;
	free(parsed);
}

static void
discard(void *impl, void *object)
{
	(void)impl;
	free(object);
}

static void
start_instance(int i)
{
	instance_t *instance = &simulation.instances[i];
	const at_document_sync_port_t port = {
	    parse, apply_document, discard, instance};

	at_document_sync_delete(instance->sync);
	instance->sync = at_document_sync_new(&port);
	instance->in_force = 0;
	instance->keys = 0;
}

static uint8_t
draw(void)
{
	if (simulation.size > 0) {
		simulation.size--;
		return *simulation.data++;
	}
	return (uint8_t)at_rng_next(&simulation.rng);
}

static void
set_instance_name(int i, at_name_t *name)
{
	(void)snprintf(name->text, sizeof(name->text), "i%d", i);
}

static void
message_free(message_t *message)
{
	free(message->text);
	free(message->base_text);
}

static void
send(message_t message)
{
	if (simulation.message_count == MESSAGES_MAX) {
		message_free(&message);
		return;
	}
	simulation.messages[simulation.message_count++] = message;
}

static int
is_connected(int a, int b)
{
	if (a == INSTANCES || b == INSTANCES)
		return !simulation.instances[a == INSTANCES ? b : a]
			    .is_cut_from_platform;
	return !simulation.instances[a].is_cut_from[b];
}

static void
send_request(int i)
{
	instance_t *instance = &simulation.instances[i];
	uint64_t base = 0;
	const at_name_t *peer = at_document_sync_next_peer(
	    instance->sync, simulation.now_ms, draw(), &base);

	if (peer != NULL)
		send((message_t){.kind = MESSAGE_REQUEST,
		    .from = i,
		    .to = peer->text[1] - '0',
		    .base = base});
}

static char *
copy_text(const char *text)
{
	return text == NULL ? NULL : strdup(text);
}

static void
handle_request(const message_t *request)
{
	const instance_t *instance = &simulation.instances[request->to];
	size_t len;
	const char *text =
	    at_document_sync_text(instance->sync, instance->in_force, &len);
	const char *base =
	    at_document_sync_text(instance->sync, request->base, &len);

	if (instance->in_force <= request->base || text == NULL)
		return;
	send((message_t){.kind = MESSAGE_UPDATE,
	    .from = request->to,
	    .to = request->from,
	    .version = instance->in_force,
	    .base = base == NULL ? 0 : request->base,
	    .base_text = copy_text(base),
	    .text = copy_text(text)});
}

static void
apply_update(const message_t *update)
{
	instance_t *instance = &simulation.instances[update->to];
	const char *base = update->base_text == NULL ? "" : update->base_text;
	at_delta_t delta;

	if (at_delta_make(&delta, base, strlen(base), update->text,
		strlen(update->text)) != 0)
		fail("at_delta_make() failed");
	(void)at_document_sync_apply_delta(
	    instance->sync, update->version, update->base, &delta);
	at_delta_clear(&delta);
}

static void
deliver(const message_t *message)
{
	instance_t *instance = &simulation.instances[message->to];
	at_name_t from;

	switch (message->kind) {
	case MESSAGE_HEARTBEAT:
		set_instance_name(message->from, &from);
		at_document_sync_note_peer_version(
		    instance->sync, &from, message->version, simulation.now_ms);
		send_request(message->to);
		break;
	case MESSAGE_REQUEST:
		handle_request(message);
		break;
	case MESSAGE_UPDATE:
		apply_update(message);
		break;
	case MESSAGE_PLATFORM:
		(void)at_document_sync_apply(
		    instance->sync, 0, message->text, strlen(message->text));
		break;
	}
}

/* Delivers a message, delivers it and keeps it for later, or drops it. */
static void
step_message(uint8_t choice)
{
	size_t i;
	message_t message;

	if (simulation.message_count == 0)
		return;
	i = draw() % simulation.message_count;
	message = simulation.messages[i];
	if (choice % 8 == 0 && is_connected(message.from, message.to)) {
		deliver(&message);
		return;
	}
	simulation.messages[i] =
	    simulation.messages[--simulation.message_count];
	if (choice % 8 != 1 && is_connected(message.from, message.to))
		deliver(&message);
	message_free(&message);
}

static void
step_heartbeat(void)
{
	int from = draw() % INSTANCES;
	int to = draw() % INSTANCES;

	if (from != to)
		send((message_t){.kind = MESSAGE_HEARTBEAT,
		    .from = from,
		    .to = to,
		    .version = simulation.instances[from].in_force});
}

static void
step_operator(void)
{
	oracle_t *oracle = &simulation.oracle;

	if (oracle->newest + 1 == GENERATIONS_MAX)
		return;
	oracle->newest++;
	oracle->keys[oracle->newest] =
	    oracle->keys[oracle->newest - 1] ^ 1u << draw() % KEYS;
	oracle->is_invalid[oracle->newest] = draw() % 16 == 0;
}

/* The platform sends its present document, which may arrive late. */
static void
step_platform(void)
{
	if (simulation.oracle.newest == 0)
		return;
	send((message_t){.kind = MESSAGE_PLATFORM,
	    .from = INSTANCES,
	    .to = draw() % INSTANCES,
	    .text = format_document(simulation.oracle.newest)});
}

static void
step_partition(void)
{
	int a = draw() % INSTANCES;
	int b = draw() % (INSTANCES + 1);

	if (b == INSTANCES) {
		simulation.instances[a].is_cut_from_platform ^= 1;
		return;
	}
	simulation.instances[a].is_cut_from[b] ^= 1;
	simulation.instances[b].is_cut_from[a] =
	    simulation.instances[a].is_cut_from[b];
}

static void
step(void)
{
	uint8_t choice = draw();

	simulation.now_ms += STEP_MS;
	if (choice < 140)
		step_message(choice);
	else if (choice < 200)
		step_heartbeat();
	else if (choice < 225)
		step_platform();
	else if (choice < 240)
		step_operator();
	else if (choice < 250)
		step_partition();
	else if (choice < 254)
		start_instance(draw() % INSTANCES);
	else
		simulation.now_ms += AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS;
}

static void
check(void)
{
	const oracle_t *oracle = &simulation.oracle;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		const instance_t *instance = &simulation.instances[i];

		if (at_document_sync_version(instance->sync) !=
		    instance->in_force)
			fail("the version is not the one in force");
		if (instance->in_force != 0 &&
		    instance->keys != oracle->keys[instance->in_force])
			fail("the keys are not those of the generation in "
			     "force");
	}
}

/*
 * Ends all faults: all instances are connected, and one reads a new document
 * from the platform.
 */
static void
end_faults(void)
{
	oracle_t *oracle = &simulation.oracle;
	int round;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		simulation.instances[i].is_cut_from_platform = 0;
		memset(simulation.instances[i].is_cut_from, 0, INSTANCES);
	}
	while (simulation.message_count > 0)
		message_free(&simulation.messages[--simulation.message_count]);
	step_operator();
	oracle->is_invalid[oracle->newest] = 0;
	send((message_t){.kind = MESSAGE_PLATFORM,
	    .from = INSTANCES,
	    .to = 0,
	    .text = format_document(oracle->newest)});
	for (round = 0; round < 4; round++) {
		simulation.now_ms += 2 * AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS;
		for (i = 1; i < INSTANCES; i++)
			send((message_t){.kind = MESSAGE_HEARTBEAT,
			    .from = 0,
			    .to = i,
			    .version = simulation.instances[0].in_force});
		while (simulation.message_count > 0) {
			message_t message =
			    simulation.messages[--simulation.message_count];

			deliver(&message);
			message_free(&message);
		}
		check();
		for (i = 1; i < INSTANCES && round == 0; i++)
			send((message_t){.kind = MESSAGE_HEARTBEAT,
			    .from = 0,
			    .to = i,
			    .version = simulation.instances[0].in_force});
	}
	for (i = 0; i < INSTANCES; i++)
		if (simulation.instances[i].in_force != oracle->newest)
			fail("an instance lacks the newest generation after "
			     "the end of all faults");
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t operations;
	int i;

	memset(&simulation, 0, sizeof(simulation));
	simulation.data = data;
	simulation.size = size;
	simulation.rng.state = size;
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	for (operations = 0; operations < OPERATIONS_MIN || simulation.size > 0;
	     operations++) {
		step();
		check();
	}
	end_faults();
	for (i = 0; i < INSTANCES; i++)
		at_document_sync_delete(simulation.instances[i].sync);
	while (simulation.message_count > 0)
		message_free(&simulation.messages[--simulation.message_count]);
	return 0;
}
