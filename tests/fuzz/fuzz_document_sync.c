/*
 * Up to 8 instances, a platform and operators who give and withdraw keys,
 * with loss, duplication, reordering, partition, restart and bad documents.
 * Checked at each step: the generation in force at an instance only grows
 * within one life; it is one that the operators made; a key withdrawn in a
 * generation is accepted by no instance that has that generation or a newer
 * one in force, and never again after an instance refused it, unless it was
 * given anew. At the end everything heals and all agree.
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
#define OPERATIONS_MIN 90 /* of one run */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The oracle: which keys each generation holds, as bits. */
typedef struct oracle {
	uint32_t keys[GENERATIONS_MAX];
	uint8_t bad[GENERATIONS_MAX]; /* the document is not valid */
	uint64_t newest;
} oracle_t;

typedef struct instance {
	at_document_sync_t *adopt;
	uint64_t in_force; /* 0: nothing */
	uint32_t keys;
	int cut_from_platform;
	uint8_t cut_from[INSTANCES];
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
	char *base_text; /* of an update: NULL, or what it refers to */
	char *text;
} message_t;

typedef struct world {
	const uint8_t *data;
	size_t size;
	at_rng_t rng;
	oracle_t oracle;
	instance_t instances[INSTANCES];
	message_t messages[MESSAGES_MAX];
	size_t message_count;
	uint64_t now_ms;
} world_t;

static world_t world;

static void
fail(const char *what)
{
	(void)fprintf(stderr, "fuzz_document_sync: %s\n", what);
	abort();
}

/* A document: "GENERATION{k0}{k3}..."; a bad one ends with '!'. */
static char *
document(uint64_t generation)
{
	const oracle_t *o = &world.oracle;
	char *text = malloc(256);
	int len =
	    snprintf(text, 256, "%llu{g}", (unsigned long long)generation);
	int k;

	for (k = 0; k < KEYS; k++) {
		if (o->keys[generation] & 1u << k)
			len += snprintf(
			    text + len, 256 - (size_t)len, "{key %d}", k);
	}
	if (o->bad[generation])
		(void)snprintf(text + len, 256 - (size_t)len, "!");
	return text;
}

/* What an instance gets from a document. */
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
use(void *impl, void *object)
{
	instance_t *instance = impl;
	parsed_t *parsed = object;
	const oracle_t *o = &world.oracle;

	if (parsed->generation <= instance->in_force)
		fail("an older generation was applied");
	if (parsed->generation > o->newest || o->bad[parsed->generation])
		fail("a generation nobody made was applied");
	if (parsed->keys != o->keys[parsed->generation])
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
start(int i)
{
	instance_t *instance = &world.instances[i];
	const at_document_sync_port_t port = {parse, use, discard, instance};

	at_document_sync_delete(instance->adopt);
	instance->adopt = at_document_sync_new(&port);
	instance->in_force = 0;
	instance->keys = 0;
}

static uint8_t
draw(void)
{
	if (world.size > 0) {
		world.size--;
		return *world.data++;
	}
	return (uint8_t)at_rng_next(&world.rng);
}

static void
name_of(int i, at_name_t *name)
{
	(void)snprintf(name->text, sizeof(name->text), "i%d", i);
}

static void
free_message(message_t *message)
{
	free(message->text);
	free(message->base_text);
}

static void
post(message_t message)
{
	if (world.message_count == MESSAGES_MAX) {
		free_message(&message);
		return;
	}
	world.messages[world.message_count++] = message;
}

static int
connected(int a, int b)
{
	if (a == INSTANCES || b == INSTANCES)
		return !world.instances[a == INSTANCES ? b : a]
			    .cut_from_platform;
	return !world.instances[a].cut_from[b];
}

static void
ask(int i)
{
	instance_t *instance = &world.instances[i];
	uint64_t base = 0;
	const at_name_t *peer = at_document_sync_next_peer(
	    instance->adopt, world.now_ms, draw(), &base);

	if (peer != NULL)
		post((message_t){.kind = MESSAGE_REQUEST,
		    .from = i,
		    .to = peer->text[1] - '0',
		    .base = base});
}

static char *
copy_of(const char *text)
{
	return text == NULL ? NULL : strdup(text);
}

static void
answer_request(const message_t *request)
{
	const instance_t *instance = &world.instances[request->to];
	size_t len;
	const char *text =
	    at_document_sync_text(instance->adopt, instance->in_force, &len);
	const char *base =
	    at_document_sync_text(instance->adopt, request->base, &len);

	if (instance->in_force <= request->base || text == NULL)
		return;
	post((message_t){.kind = MESSAGE_UPDATE,
	    .from = request->to,
	    .to = request->from,
	    .version = instance->in_force,
	    .base = base == NULL ? 0 : request->base,
	    .base_text = copy_of(base),
	    .text = copy_of(text)});
}

static void
take_update(const message_t *update)
{
	instance_t *instance = &world.instances[update->to];
	const char *base = update->base_text == NULL ? "" : update->base_text;
	at_delta_t delta;

	if (at_delta_make(&delta, base, strlen(base), update->text,
		strlen(update->text)) != 0)
		fail("no difference");
	(void)at_document_sync_apply_delta(
	    instance->adopt, update->version, update->base, &delta);
	at_delta_clear(&delta);
}

static void
deliver(const message_t *message)
{
	instance_t *instance = &world.instances[message->to];
	at_name_t from;

	switch (message->kind) {
	case MESSAGE_HEARTBEAT:
		name_of(message->from, &from);
		at_document_sync_note_peer_version(
		    instance->adopt, &from, message->version, world.now_ms);
		ask(message->to);
		break;
	case MESSAGE_REQUEST:
		answer_request(message);
		break;
	case MESSAGE_UPDATE:
		take_update(message);
		break;
	case MESSAGE_PLATFORM:
		(void)at_document_sync_apply(
		    instance->adopt, 0, message->text, strlen(message->text));
		break;
	}
}

/* Delivers any message, at times twice, or loses it. */
static void
step_message(uint8_t how)
{
	size_t i;
	message_t message;

	if (world.message_count == 0)
		return;
	i = draw() % world.message_count;
	message = world.messages[i];
	if (how % 8 == 0 && connected(message.from, message.to)) {
		deliver(&message); /* and once more later */
		return;
	}
	world.messages[i] = world.messages[--world.message_count];
	if (how % 8 != 1 && connected(message.from, message.to))
		deliver(&message);
	free_message(&message);
}

static void
step_heartbeat(void)
{
	int from = draw() % INSTANCES;
	int to = draw() % INSTANCES;

	if (from != to)
		post((message_t){.kind = MESSAGE_HEARTBEAT,
		    .from = from,
		    .to = to,
		    .version = world.instances[from].in_force});
}

static void
step_operator(void)
{
	oracle_t *o = &world.oracle;

	if (o->newest + 1 == GENERATIONS_MAX)
		return;
	o->newest++;
	o->keys[o->newest] = o->keys[o->newest - 1] ^ 1u << draw() % KEYS;
	o->bad[o->newest] = draw() % 16 == 0;
}

/* The platform answers with what it holds now; the answer may be late. */
static void
step_platform(void)
{
	if (world.oracle.newest == 0)
		return;
	post((message_t){.kind = MESSAGE_PLATFORM,
	    .from = INSTANCES,
	    .to = draw() % INSTANCES,
	    .text = document(world.oracle.newest)});
}

static void
step_partition(void)
{
	int a = draw() % INSTANCES;
	int b = draw() % (INSTANCES + 1);

	if (b == INSTANCES) {
		world.instances[a].cut_from_platform ^= 1;
		return;
	}
	world.instances[a].cut_from[b] ^= 1;
	world.instances[b].cut_from[a] = world.instances[a].cut_from[b];
}

static void
step(void)
{
	uint8_t what = draw();

	world.now_ms += STEP_MS;
	if (what < 140)
		step_message(what);
	else if (what < 200)
		step_heartbeat();
	else if (what < 225)
		step_platform();
	else if (what < 240)
		step_operator();
	else if (what < 250)
		step_partition();
	else if (what < 254)
		start(draw() % INSTANCES);
	else
		world.now_ms += AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS;
}

static void
check(void)
{
	const oracle_t *o = &world.oracle;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		const instance_t *instance = &world.instances[i];

		if (at_document_sync_version(instance->adopt) !=
		    instance->in_force)
			fail("the version is not the one in force");
		if (instance->in_force != 0 &&
		    instance->keys != o->keys[instance->in_force])
			fail("a key that was withdrawn is accepted");
	}
}

/* Everything is connected again; one instance reads from the platform. */
static void
heal(void)
{
	oracle_t *o = &world.oracle;
	int round;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		world.instances[i].cut_from_platform = 0;
		memset(world.instances[i].cut_from, 0, INSTANCES);
	}
	while (world.message_count > 0)
		free_message(&world.messages[--world.message_count]);
	step_operator();
	o->bad[o->newest] = 0;
	post((message_t){.kind = MESSAGE_PLATFORM,
	    .from = INSTANCES,
	    .to = 0,
	    .text = document(o->newest)});
	for (round = 0; round < 4; round++) {
		world.now_ms += 2 * AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS;
		for (i = 1; i < INSTANCES; i++)
			post((message_t){.kind = MESSAGE_HEARTBEAT,
			    .from = 0,
			    .to = i,
			    .version = world.instances[0].in_force});
		while (world.message_count > 0) {
			message_t message =
			    world.messages[--world.message_count];

			deliver(&message);
			free_message(&message);
		}
		check();
		for (i = 1; i < INSTANCES && round == 0; i++)
			post((message_t){.kind = MESSAGE_HEARTBEAT,
			    .from = 0,
			    .to = i,
			    .version = world.instances[0].in_force});
	}
	for (i = 0; i < INSTANCES; i++)
		if (world.instances[i].in_force != o->newest)
			fail("not all agree after the end of all faults");
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t operations;
	int i;

	memset(&world, 0, sizeof(world));
	world.data = data;
	world.size = size;
	world.rng.state = size;
	for (i = 0; i < INSTANCES; i++)
		start(i);
	for (operations = 0; operations < OPERATIONS_MIN || world.size > 0;
	     operations++) {
		step();
		check();
	}
	heal();
	for (i = 0; i < INSTANCES; i++)
		at_document_sync_delete(world.instances[i].adopt);
	while (world.message_count > 0)
		free_message(&world.messages[--world.message_count]);
	return 0;
}
