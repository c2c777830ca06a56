/* jobs_record.c - encoding of job records, ids and object names (jobs.h). */
#include "almondthread/jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAGIC_BYTES 4u
#define HEADER_BYTES (MAGIC_BYTES + 1u + AT_CLAIM_HASH_SIZE)

static const uint8_t magic[MAGIC_BYTES] = {'A', 'T', 'J', '1'};

const char *const at_job_state_names[] = {"queued", "done", "may_have_run"};
const char *const at_job_outcome_names[] = {
    "accepted", "mismatch", "refused", "unknown"};

uint8_t *
at_job_pack(const at_job_record_t *record, size_t *len)
{
	uint8_t *bytes = malloc(HEADER_BYTES + record->len);

	*len = HEADER_BYTES + record->len;
	if (bytes == NULL)
		return NULL;
	memcpy(bytes, magic, MAGIC_BYTES);
	bytes[MAGIC_BYTES] = (uint8_t)record->state;
	memcpy(
	    bytes + MAGIC_BYTES + 1, record->digest.bytes, AT_CLAIM_HASH_SIZE);
	if (record->len > 0)
		memcpy(bytes + HEADER_BYTES, record->data, record->len);
	return bytes;
}

int
at_job_unpack(at_job_record_t *record, const void *value, size_t len)
{
	const uint8_t *bytes = value;

	memset(record, 0, sizeof(*record));
	if (len < HEADER_BYTES || memcmp(bytes, magic, MAGIC_BYTES) != 0 ||
	    bytes[MAGIC_BYTES] >= AT_JOB_STATE_COUNT)
		return -1;
	record->state = (at_job_state_t)bytes[MAGIC_BYTES];
	memcpy(
	    record->digest.bytes, bytes + MAGIC_BYTES + 1, AT_CLAIM_HASH_SIZE);
	record->data = bytes + HEADER_BYTES;
	record->len = len - HEADER_BYTES;
	return 0;
}

void
at_job_id_format(const at_claim_hash_t *id, char text[AT_JOB_ID_SIZE])
{
	size_t i;

	for (i = 0; i < AT_CLAIM_HASH_SIZE; i++)
		(void)snprintf(text + 2 * i, 3, "%02x", id->bytes[i]);
}

static int
hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

int
at_job_id_parse(at_claim_hash_t *id, const char *text)
{
	size_t i;

	if (strlen(text) != AT_JOB_ID_DIGITS)
		return -1;
	for (i = 0; i < AT_CLAIM_HASH_SIZE; i++) {
		int high = hex_digit(text[2 * i]);
		int low = hex_digit(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return -1;
		id->bytes[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

void
at_job_object_name(const at_claim_hash_t *id, char name[AT_JOB_OBJECT_SIZE])
{
	char text[AT_JOB_ID_SIZE];

	at_job_id_format(id, text);
	(void)snprintf(name, AT_JOB_OBJECT_SIZE, "job-records/%s", text);
}
