/* almond-entry - one entry instance on the users' platform. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include <curl/curl.h>
#include <sodium.h>

#include "almondthread/log.h"
#include "entry/entry.h"
#include "io/resident.h"
#include "entry/base/entry_settings.h"
#include "platform/settings.h"

#define SETTINGS_CHECK_S 1. /* between two checks of the settings file */

/* The running instance, and the arguments to reload its settings from. */
typedef struct program {
	int argc;
	char **argv;
	at_entry_t *entry;
	struct stat settings_stat; /* of the settings file, last read */
	ev_signal term;
	ev_signal interrupt;
	ev_signal hang_up;
	ev_timer settings_timer;
} program_t;

static int
set_log_level(const char *name)
{
	int level;

	for (level = 0; level < AT_LOG_LEVEL_COUNT; level++) {
		if (strcmp(name, at_log_level_names[level]) == 0) {
			at_log_set_level((at_log_level_t)level);
			return 0;
		}
	}
	return -1;
}

static void
reload(program_t *program)
{
	at_entry_settings_t settings = {0};
	at_settings_file_t *file = NULL;
	at_status_t status;

	at_status_clear(&status);
	if (at_entry_settings_read(&settings, program->argc, program->argv,
		at_platform_settings_path(), &file, &status) == 0 &&
	    set_log_level(settings.log_level) == 0)
		at_entry_reload(program->entry, &settings);
	else
		at_log(AT_LOG_ERROR, "entry", NULL,
		    "settings not reloaded: %s; the present ones stay in use",
		    status.message);
	at_settings_file_delete(file);
}

static void
on_hang_up(struct ev_loop *loop, ev_signal *signal, int events)
{
	program_t *program = signal->data;

	(void)loop;
	(void)events;
	(void)stat(at_platform_settings_path(), &program->settings_stat);
	reload(program);
}

/* The settings file may change without a signal. */
static void
on_settings_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	program_t *program = timer->data;
	struct stat now;

	(void)loop;
	(void)events;
	if (stat(at_platform_settings_path(), &now) != 0)
		return;
	if (now.st_mtim.tv_sec == program->settings_stat.st_mtim.tv_sec &&
	    now.st_mtim.tv_nsec == program->settings_stat.st_mtim.tv_nsec &&
	    now.st_size == program->settings_stat.st_size)
		return;
	program->settings_stat = now;
	reload(program);
}

static void
on_stop_signal(struct ev_loop *loop, ev_signal *signal, int events)
{
	program_t *program = signal->data;

	(void)loop;
	(void)events;
	at_entry_stop(program->entry);
}

static void
watch_signal(struct ev_loop *loop, program_t *program, ev_signal *watcher,
    int number, void (*on_signal)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(watcher, on_signal, number);
	watcher->data = program;
	ev_signal_start(loop, watcher);
}

/* SIGHUP ends a process that does not handle it yet; blocked, it waits. */
static void
block_hang_up(int how)
{
	sigset_t signals;

	(void)sigemptyset(&signals);
	(void)sigaddset(&signals, SIGHUP);
	(void)sigprocmask(how, &signals, NULL);
}

static int
run(program_t *program, const at_entry_settings_t *settings)
{
	struct ev_loop *loop = ev_default_loop(0);
	at_status_t status;

	at_status_clear(&status);
	at_resident_set_returning();
	program->entry = at_entry_new(loop, settings);
	if (program->entry == NULL ||
	    at_entry_init(program->entry, &status) != AT_OK) {
		(void)fprintf(stderr, "almond-entry: %s\n", status.message);
		at_entry_delete(program->entry);
		return status.code == AT_INVALID ? AT_EXIT_USAGE : 1;
	}
	watch_signal(loop, program, &program->term, SIGTERM, on_stop_signal);
	watch_signal(
	    loop, program, &program->interrupt, SIGINT, on_stop_signal);
	watch_signal(loop, program, &program->hang_up, SIGHUP, on_hang_up);
	block_hang_up(SIG_UNBLOCK);
	(void)stat(at_platform_settings_path(), &program->settings_stat);
	ev_timer_init(&program->settings_timer, on_settings_timer,
	    SETTINGS_CHECK_S, SETTINGS_CHECK_S);
	program->settings_timer.data = program;
	ev_timer_start(loop, &program->settings_timer);
	(void)ev_run(loop, 0);
	at_entry_delete(program->entry);
	at_log(AT_LOG_INFO, "entry", NULL, "stopped");
	at_log_flush();
	return 0;
}

int
main(int argc, char **argv)
{
	program_t program = {.argc = argc, .argv = argv};
	at_entry_settings_t settings = {0};
	at_settings_file_t *file = NULL;
	at_status_t status;
	int result;

	block_hang_up(SIG_BLOCK);
	at_status_clear(&status);
	result = at_entry_settings_read(
	    &settings, argc, argv, at_platform_settings_path(), &file, &status);
	if (result == 0 && set_log_level(settings.log_level) != 0) {
		(void)at_status_set(&status, AT_INVALID,
		    "--log-level: expected error, warn, info or debug");
		result = -1;
	}
	if (result < 0)
		(void)fprintf(stderr, "almond-entry: %s\n", status.message);
	if (result == 0) {
		at_log_to_stdout(settings.log_lines_per_s);
		at_log_set_fatal_signals();
		if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) != 0)
			result = 1;
		else
			result = run(&program, &settings);
	} else {
		result = result < 0 ? AT_EXIT_USAGE : 0;
	}
	at_settings_file_delete(file);
	return result;
}
