/*
 * Settings in each decimal form in which a platform may write them. A fraction
 * once kept the program from starting.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "entry/base/entry_settings.h"

#define FILE_SIZE 512

static const char required[] = "name=a\ndata-centre=north\n"
			       "listen=127.0.0.1:1\nready=127.0.0.1:2\n"
			       "peers=127.0.0.1:3\nstore=127.0.0.1:4\n"
			       "secret=00\n";

typedef enum value_type {
	VALUE_NUMBER,
	VALUE_DECIMAL
} value_type_t;

#define NUMBER(field) offsetof(at_entry_settings_t, field), VALUE_NUMBER
#define DECIMAL(field) offsetof(at_entry_settings_t, field), VALUE_DECIMAL

/* All settings that are numbers, and the rounding of a fraction. */
static const struct {
	const char *flag;
	size_t offset;
	value_type_t type;
	const char *text;
	double value; /* negative: refused */
} forms[] = {{"log-lines", NUMBER(log_lines_per_s), "2000", 2000},
    {"log-lines", NUMBER(log_lines_per_s), "2000.9", 2000},
    {"log-lines", NUMBER(log_lines_per_s), "2e3", 2000},
    {"log-lines", NUMBER(log_lines_per_s), "0.5", -1},
    {"log-lines", NUMBER(log_lines_per_s), "1000000.5", -1},
    {"cores", NUMBER(cores), "4", 4}, {"cores", NUMBER(cores), "4.0", 4},
    {"cores", NUMBER(cores), "1.5", 1}, {"cores", NUMBER(cores), "0.5", -1},
    {"stop-grace-s", NUMBER(stop_grace_s), "8.75", 8},
    {"stop-grace-s", NUMBER(stop_grace_s), "2.9", -1},
    {"lease-ms", NUMBER(lease_ms), "3000.0", 3000},
    {"lease-ms", NUMBER(lease_ms), "3000.2", 3001},
    {"lease-ms", NUMBER(lease_ms), "1e7", -1},
    {"drain-ms", NUMBER(drain_ms), "2000.9", 2000},
    {"drain-ms", NUMBER(drain_ms), "999.9", -1},
    {"config-apply-ms", NUMBER(config_apply_ms), "4e3", 4000},
    {"retry-slack", NUMBER(retry_slack), "33.1578947368421", 33},
    {"retry-slack", NUMBER(retry_slack), "33.157", 33},
    {"retry-slack", NUMBER(retry_slack), "0.9", 0},
    {"retry-slack", NUMBER(retry_slack), ".9", 0},
    {"retry-slack", NUMBER(retry_slack), "630", 630},
    {"evacuate-ms", NUMBER(evacuate_ms), "5000", 5000},
    {"evacuate-ms", NUMBER(evacuate_ms), "0", 0},
    {"evacuate-ms", NUMBER(evacuate_ms), "", 0},
    {"retry-slack", NUMBER(retry_slack), "-1", -1},
    {"retry-slack", NUMBER(retry_slack), "many", -1},
    {"retry-slack", NUMBER(retry_slack), "3 3", -1},
    {"retry-slack", NUMBER(retry_slack), "0x21", -1},
    {"retry-slack", NUMBER(retry_slack), "nan", -1},
    {"retry-slack", NUMBER(retry_slack), "1e999", -1},
    {"retry-ratio", DECIMAL(retry_ratio), "0.2", 0.2},
    {"retry-ratio", DECIMAL(retry_ratio), "2e-1", 0.2},
    {"retry-ratio", DECIMAL(retry_ratio), "-0.2", -1},
    {"processor-share", DECIMAL(processor_share), "0.25", 0.25},
    {"processor-share", DECIMAL(processor_share), "1", 1},
    {"processor-share", DECIMAL(processor_share), "inf", -1},
    {"link-mbps", DECIMAL(link_mbps), "1000.0", 1000},
    {"link-mbps", DECIMAL(link_mbps), "1e3", 1000},
    {"link-mbps", DECIMAL(link_mbps), "", 1000},
    {"cold-overage", DECIMAL(cold_overage), "1.5", 1.5},
    {"cold-overage", DECIMAL(cold_overage), "", 1e9},
    {"cold-tolerance", DECIMAL(cold_tolerance), "5", 5},
    {"cold-tolerance", DECIMAL(cold_tolerance), "", 1e9}};

static int
read_with(const char *flag, const char *text, at_entry_settings_t *settings,
    at_settings_file_t **file, at_status_t *status)
{
	char path[] = "/tmp/test-settings-XXXXXX";
	char lines[FILE_SIZE];
	char *argv[] = {"almond-entry", NULL};
	int fd = mkstemp(path);
	int len =
	    snprintf(lines, sizeof(lines), "%s%s=%s\n", required, flag, text);
	int result;

	cr_assert_geq(fd, 0);
	cr_assert_eq(write(fd, lines, (size_t)len), len);
	(void)close(fd);
	at_status_clear(status);
	result = at_entry_settings_read(settings, 1, argv, path, file, status);
	(void)unlink(path);
	return result;
}

Test(settings, a_fraction_keeps_the_program_from_starting)
{
	size_t i;

	for (i = 0; i < sizeof(forms) / sizeof(forms[0]); i++) {
		at_entry_settings_t settings = {0};
		at_settings_file_t *file = NULL;
		at_status_t status;
		const char *field = (const char *)&settings + forms[i].offset;
		int result = read_with(
		    forms[i].flag, forms[i].text, &settings, &file, &status);
		double value = forms[i].type == VALUE_NUMBER
				   ? *(const uint32_t *)(const void *)field
				   : *(const double *)(const void *)field;

		if (forms[i].value < 0.) {
			cr_expect_eq(
			    result, -1, "%s=%s", forms[i].flag, forms[i].text);
			cr_expect_not_null(
			    strstr(status.message, forms[i].flag));
			cr_expect_not_null(
			    strstr(status.message, forms[i].text));
		} else {
			cr_expect_eq(result, 0, "%s=%s: %s", forms[i].flag,
			    forms[i].text, status.message);
			cr_expect_float_eq(value, forms[i].value, 1e-9,
			    "%s=%s: %f", forms[i].flag, forms[i].text, value);
		}
		at_settings_file_delete(file);
	}
}

static const struct {
	double processor_share;
	uint32_t cores;
	size_t fitting; /* into the memory */
	int backlog;
} backlogs[] = {{0.01, 1, SIZE_MAX, 64}, {0.25, 1, SIZE_MAX, 250},
    {0.5, 4, SIZE_MAX, 2000}, {1., 64, SIZE_MAX, SOMAXCONN},
    {0.25, 1, 150, 150}, {0.25, 1, 10, 64}};

/* Connections that cannot be read in time are not accepted. */
Test(settings, the_backlog_follows_the_processor)
{
	size_t i;

	for (i = 0; i < sizeof(backlogs) / sizeof(backlogs[0]); i++) {
		const at_entry_settings_t settings = {
		    .processor_share = backlogs[i].processor_share,
		    .cores = backlogs[i].cores};

		cr_assert_eq(
		    at_entry_settings_backlog(&settings, backlogs[i].fitting),
		    backlogs[i].backlog);
	}
}
