#include "soak/soak.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_S 0.02         /* between two checks for ended processes */
#define RESTART_DELAY_S 0.1 /* from the end of a process to its next start */
#define PATH_SIZE 512u
#define FIRST_PORT 10000u
#define PORTS 3u
#define SEEDS 3u   /* one in each of three data centres */
#define FILLERS 3u /* connections that fill the backlog of a listener */
#define SECRET \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

extern char **environ;

typedef struct instance {
	soak_processes_t *processes;
	uint32_t index;
	pid_t pid; /* 0: it does not run */
	int is_told_to_end;
	int is_frozen;
	double start_due_s; /* loop time; 0: none */
	double thaw_due_s;  /* loop time; 0: none */
	double cut_due_s;   /* end of a cut; 0: none */
	char name[AT_NAME_SIZE];
	char addresses[PORTS][AT_ADDR_SIZE]; /* callers, readiness, peers */
	char conf[PATH_SIZE];
	char cut[PATH_SIZE]; /* file with the state of its links */
	char log[PATH_SIZE];
} instance_t;

struct soak_processes {
	struct ev_loop *loop;
	soak_judge_t *judge;
	const char *program;
	const char *store;
	uint16_t hanging; /* port where connections are not answered */
	int sockets[1u + FILLERS];
	instance_t *instances;
	uint32_t count;
	ev_timer timer;
};

/*
 * Each instance of a run has its own host on loopback, with the same ports, so
 * that runs at the same time do not take each other's while one is restarted.
 */
static void
make_address(char address[AT_ADDR_SIZE], uint32_t instance, uint32_t offset)
{
	uint32_t run = (uint32_t)getpid();

	(void)snprintf(address, AT_ADDR_SIZE, "127.%u.%u.%u:%u", 1u + instance,
	    (run >> 8) & 255u, run & 255u,
	    FIRST_PORT + PORTS * ((run >> 16) & 255u) + offset);
}

static void
start(instance_t *instance)
{
	char variable[PATH_SIZE + 32];
	char *argv[] = {(char *)instance->processes->program, NULL};
	char cut[PATH_SIZE + 32];
	char store[64];
	char *env[] = {
	    variable, cut, store, "ALMONDTHREAD_SECRET=" SECRET, NULL};
	posix_spawn_file_actions_t actions;

	(void)snprintf(variable, sizeof(variable), "ALMONDTHREAD_NODE_FILE=%s",
	    instance->conf);
	(void)snprintf(cut, sizeof(cut), "SOAK_CUT_FILE=%s", instance->cut);
	(void)snprintf(store, sizeof(store), "SOAK_STORE_PORT=%s",
	    strchr(instance->processes->store, ':') + 1);
	(void)posix_spawn_file_actions_init(&actions);
	(void)posix_spawn_file_actions_addopen(
	    &actions, 1, instance->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	(void)posix_spawn_file_actions_adddup2(&actions, 1, 2);
	if (posix_spawn(&instance->pid, argv[0], &actions, NULL, argv, env) !=
	    0)
		instance->pid = 0;
	(void)posix_spawn_file_actions_destroy(&actions);
	instance->is_told_to_end = 0;
	instance->is_frozen = 0;
	instance->start_due_s = 0.;
	instance->thaw_due_s = 0.;
	soak_judge_instance_started(
	    instance->processes->judge, instance->index);
}

static void
thaw(instance_t *instance)
{
	(void)kill(instance->pid, SIGCONT);
	instance->is_frozen = 0;
	instance->thaw_due_s = 0.;
	soak_judge_instance_disturbed(instance->processes->judge,
	    instance->index, instance->is_told_to_end);
}

/* state is a letter of cut/connect.c. */
static void
set_links(instance_t *instance, char state)
{
	FILE *file = fopen(instance->cut, "w");

	if (file == NULL)
		return;
	(void)fprintf(file, "%c%u", state, instance->processes->hanging);
	(void)fclose(file);
	if (instance->pid != 0)
		(void)kill(instance->pid, SIGURG);
	soak_judge_cut(
	    instance->processes->judge, instance->index, state != 'u');
}

static void
check_instance(instance_t *instance, double now_s)
{
	int status;

	if (instance->pid != 0 &&
	    waitpid(instance->pid, &status, WNOHANG) == instance->pid) {
		if (!instance->is_told_to_end)
			soak_judge_exited(instance->processes->judge,
			    instance->index, status);
		instance->pid = 0;
		instance->start_due_s = now_s + RESTART_DELAY_S;
	}
	if (instance->pid == 0 && now_s >= instance->start_due_s)
		start(instance);
	if (instance->cut_due_s != 0. && now_s >= instance->cut_due_s) {
		instance->cut_due_s = 0.;
		set_links(instance, 'u');
	}
	if (instance->is_frozen && now_s >= instance->thaw_due_s)
		thaw(instance);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_processes_t *processes = timer->data;
	uint32_t i;

	(void)events;
	for (i = 0; i < processes->count; i++)
		check_instance(&processes->instances[i], ev_now(loop));
}

static void
prepare(instance_t *instance, const char *work, const char *store)
{
	/* Two data centres have two of six instances, two have one. */
	static const char data_centres[] = {'a', 'a', 'b', 'b', 'c', 'd'};
	char data_centre = data_centres[instance->index % 6u];
	FILE *file;
	char seeds[SEEDS][AT_ADDR_SIZE];
	uint32_t i;

	(void)snprintf(instance->name, sizeof(instance->name), "%c-%u",
	    data_centre, instance->index);
	(void)snprintf(
	    instance->conf, PATH_SIZE, "%s/%s.conf", work, instance->name);
	(void)snprintf(
	    instance->cut, PATH_SIZE, "%s/%s.cut", work, instance->name);
	(void)snprintf(
	    instance->log, PATH_SIZE, "%s/%s.log", work, instance->name);
	for (i = 0; i < PORTS; i++)
		make_address(instance->addresses[i], instance->index, i);
	for (i = 0; i < SEEDS; i++)
		make_address(seeds[i], 2u * i, PORTS - 1u);
	file = fopen(instance->conf, "w");
	if (file == NULL)
		return;
	(void)fprintf(file,
	    "name=%s\ndata-centre=%c\nlisten=%s\nready=%s\npeers=%s\n"
	    "store=%s\nseeds=%s,%s,%s\nretry-ratio=%.2f\nretry-slack=%u\n"
	    "log-lines=2000\n",
	    instance->name, data_centre, instance->addresses[0],
	    instance->addresses[1], instance->addresses[2], store, seeds[0],
	    seeds[1], seeds[2], SOAK_RETRY_RATIO, SOAK_RETRY_SLACK);
	(void)fclose(file);
}

/* A listener with a full backlog drops further requests to connect. */
static void
open_hanging(soak_processes_t *processes)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(address);
	uint32_t i;

	for (i = 0; i <= FILLERS; i++)
		processes->sockets[i] = socket(
		    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	(void)bind(processes->sockets[0], (struct sockaddr *)&address, len);
	(void)listen(processes->sockets[0], 0);
	(void)getsockname(
	    processes->sockets[0], (struct sockaddr *)&address, &len);
	for (i = 1; i <= FILLERS; i++)
		(void)connect(
		    processes->sockets[i], (struct sockaddr *)&address, len);
	processes->hanging = ntohs(address.sin_port);
}

soak_processes_t *
soak_processes_new(struct ev_loop *loop, soak_judge_t *judge,
    const char *program, const char *work, const char *store, uint32_t count)
{
	soak_processes_t *processes = calloc(1, sizeof(*processes));
	uint32_t i;

	processes->loop = loop;
	processes->judge = judge;
	processes->program = program;
	processes->count = count;
	processes->store = store;
	open_hanging(processes);
	processes->instances = calloc(count, sizeof(*processes->instances));
	for (i = 0; i < count; i++) {
		processes->instances[i].processes = processes;
		processes->instances[i].index = i;
		prepare(&processes->instances[i], work, store);
		start(&processes->instances[i]);
	}
	ev_timer_init(&processes->timer, on_timer, POLL_S, POLL_S);
	processes->timer.data = processes;
	ev_timer_start(loop, &processes->timer);
	return processes;
}

void
soak_processes_delete(soak_processes_t *processes)
{
	uint32_t i;

	ev_timer_stop(processes->loop, &processes->timer);
	for (i = 0; i < processes->count; i++) {
		pid_t pid = processes->instances[i].pid;

		if (pid == 0)
			continue;
		(void)kill(pid, SIGKILL);
		(void)waitpid(pid, NULL, 0);
	}
	for (i = 0; i <= FILLERS; i++)
		(void)close(processes->sockets[i]);
	free(processes->instances);
	free(processes);
}

uint32_t
soak_processes_count(const soak_processes_t *processes)
{
	return processes->count;
}

const char *
soak_processes_address(const soak_processes_t *processes, uint32_t instance)
{
	return processes->instances[instance].addresses[0];
}

int
soak_processes_is_open(const soak_processes_t *processes, uint32_t instance)
{
	return processes->instances[instance].pid != 0 &&
	       !processes->instances[instance].is_told_to_end;
}

void
soak_processes_apply(soak_processes_t *processes, const soak_step_t *step)
{
	instance_t *instance = &processes->instances[step->target];

	if (step->kind == SOAK_CUT) {
		instance->cut_due_s =
		    ev_now(processes->loop) + step->duration_ms / 1e3;
		set_links(instance, "hrn"[step->duration_ms % 3u]);
		return;
	}
	if (instance->pid == 0)
		return;
	if (step->kind == SOAK_HANG_UP) {
		(void)kill(instance->pid, SIGHUP);
		return;
	}
	soak_judge_instance_disturbed(processes->judge, instance->index, 1);
	if (step->kind == SOAK_FREEZE) {
		(void)kill(instance->pid, SIGSTOP);
		instance->is_frozen = 1;
		instance->thaw_due_s =
		    ev_now(processes->loop) + step->duration_ms / 1e3;
		return;
	}
	instance->is_told_to_end = 1;
	(void)kill(instance->pid, step->kind == SOAK_TERM ? SIGTERM : SIGKILL);
}
