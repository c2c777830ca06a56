#include "support/process.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <criterion/criterion.h>

#define COMMAND_SIZE 128u

/* A test that fails ends where it is. */
static pid_t started;

/* The programs are in one folder. */
static void
find_program(char path[PROCESS_PATH_SIZE], const char *name)
{
	ssize_t len =
	    readlink("/proc/self/exe", path, PROCESS_PATH_SIZE - strlen(name));
	char *base;

	cr_assert_gt(len, 0);
	path[len] = '\0';
	base = strrchr(path, '/') + 1;
	memcpy(base, name, strlen(name) + 1);
}

pid_t
process_start(const process_spec_t *spec)
{
	char program[PROCESS_PATH_SIZE];
	char command[COMMAND_SIZE];
	char descriptors[32] = "";
	char data[32] = "";
	char *argv[] = {"sh", "-c", command, program, NULL};
	posix_spawn_file_actions_t actions;
	pid_t pid;

	find_program(program, spec->program);
	if (spec->descriptors != 0)
		(void)snprintf(descriptors, sizeof(descriptors),
		    "ulimit -n %zu;", spec->descriptors);
	if (spec->data_kb != 0)
		(void)snprintf(
		    data, sizeof(data), "ulimit -d %zu;", spec->data_kb);
	(void)snprintf(
	    command, sizeof(command), "%s%s exec \"$0\"", descriptors, data);
	(void)posix_spawn_file_actions_init(&actions);
	(void)posix_spawn_file_actions_addopen(
	    &actions, 1, spec->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	(void)posix_spawn_file_actions_adddup2(&actions, 1, 2);
	cr_assert_eq(posix_spawn(&pid, "/bin/sh", &actions, NULL, argv,
			 (char *const *)(uintptr_t)spec->variables),
	    0);
	(void)posix_spawn_file_actions_destroy(&actions);
	started = pid;
	return pid;
}

void
process_end(void)
{
	if (started == 0)
		return;
	(void)kill(started, SIGKILL);
	(void)waitpid(started, NULL, 0);
	started = 0;
}

int
process_is_alive(pid_t pid, int *status)
{
	if (started != pid)
		return 0;
	if (waitpid(pid, status, WNOHANG) == 0)
		return 1;
	started = 0;
	return 0;
}

size_t
process_status_kb(pid_t pid, const char *name)
{
	char path[64];
	char line[256];
	size_t kb = 0;
	FILE *file;

	(void)snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, name, strlen(name)) == 0)
			kb = strtoul(line + strlen(name), NULL, 10);
	}
	if (file != NULL)
		(void)fclose(file);
	return kb;
}

size_t
process_descriptors(pid_t pid)
{
	char path[64];
	size_t count = 0;
	DIR *folder;

	(void)snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	folder = opendir(path);
	while (folder != NULL && readdir(folder) != NULL)
		count++;
	if (folder != NULL)
		(void)closedir(folder);
	return count < 2 ? 0 : count - 2;
}

int
process_has_plain_memory(void)
{
#if defined(__SANITIZE_ADDRESS__)
	return 0;
#elif defined(__has_feature)
#if __has_feature(address_sanitizer)
	return 0;
#else
	return 1;
#endif
#else
	return 1;
#endif
}

void
process_wait_for_turn(void)
{
	int fd = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);

	cr_assert_geq(fd, 0);
	cr_assert_eq(flock(fd, LOCK_EX), 0);
}
