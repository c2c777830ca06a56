/*
 * Case 14: all instances are killed while engines of two software versions
 * serve, as during an upgrade. The streams that were under way are not taken up
 * again, though engines of both versions serve on.
 */
#include "../world3.h"

#include <stdio.h>

#define INSTANCES 3u

int
main(int argc, char **argv)
{
	size_t first_new;
	size_t i;
	int is_broken;

	if (argc != 2)
		return 2;
	w_begin(argv[1]);
	w_put_config(7);
	for (i = 0; i < 4; i++) {
		char id[16];
		w_engine_t *engine;

		(void)snprintf(id, sizeof(id), "engine-%zu", i + 1);
		engine = w_add_engine(id, i < 2 ? "1" : "2");
		engine->events = 120;
		w_register(engine);
	}
	for (i = 0; i < INSTANCES; i++) {
		char name[16];

		(void)snprintf(name, sizeof(name), "entry-%zu", i + 1);
		w_start_instance(w_add_instance(name));
	}
	if (!w_await_ready(10000)) {
		w_end();
		return 2;
	}
	w_run_ms(4000);
	for (i = 0; i < 24; i++) {
		w_run_ms(75);
		(void)w_start_stream("m0");
	}
	w_run_ms(1000);
	if (world.has_trouble) {
		w_record("all instances are killed");
		for (i = 0; i < world.instance_count; i++)
			w_kill_instance(&world.instances[i]);
		w_run_ms(500);
		for (i = 0; i < world.instance_count; i++)
			w_start_instance(&world.instances[i]);
	}
	w_run_ms((uint32_t)(W_CONTACT_S * 1000.) + 100);
	first_new = world.stream_count;
	for (i = 0; i < 24; i++) {
		w_run_ms(150);
		(void)w_start_stream("m0");
	}
	while (w_open_streams() > 0 && w_now() < 60.)
		w_run_ms(200);
	is_broken = w_judge_resumptions(first_new);
	w_end();
	return is_broken;
}
