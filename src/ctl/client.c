#include "ctl/client.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define CLIENT_TOTAL_MS 5000L
#define URL_SIZE 512

static size_t
on_data(char *data, size_t size, size_t count, void *ctx)
{
	client_answer_t *answer = ctx;
	size_t len = size * count;
	char *grown = realloc(answer->body, answer->len + len + 1);

	if (grown == NULL)
		return 0;
	memcpy(grown + answer->len, data, len);
	answer->body = grown;
	answer->len += len;
	answer->body[answer->len] = '\0';
	return len;
}

static void
read_result(CURL *easy, client_answer_t *answer)
{
	struct curl_header *header = NULL;

	(void)curl_easy_getinfo(
	    easy, CURLINFO_RESPONSE_CODE, &answer->http_status);
	if (curl_easy_header(easy, "X-Version", 0, CURLH_HEADER, -1, &header) ==
	    CURLHE_OK)
		answer->version = strtoull(header->value, NULL, 10);
}

at_code_t
client_call(const char *method, const char *address, const char *path,
    const uint64_t *expect_version, const void *body, size_t len,
    client_answer_t *answer, int *sent, at_status_t *status)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	char url[URL_SIZE];
	char expect[64];
	long sent_bytes = 0;
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	(void)snprintf(url, sizeof(url), "http://%s%s", address, path);
	if (expect_version != NULL) {
		(void)snprintf(expect, sizeof(expect),
		    "X-Expect-Version: %" PRIu64, *expect_version);
		headers = curl_slist_append(headers, expect);
	}
	(void)curl_easy_setopt(easy, CURLOPT_URL, url);
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CLIENT_TOTAL_MS);
	(void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (body != NULL) {
		(void)curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	}
	(void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	code = curl_easy_perform(easy);
	(void)curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	if (sent != NULL)
		*sent = sent_bytes > 0;
	read_result(easy, answer);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	if (code == CURLE_OK)
		return AT_OK;
	return at_status_set(status, AT_UNAVAILABLE, "%s %s: %s", method, url,
	    curl_easy_strerror(code));
}

void
client_answer_free(client_answer_t *answer)
{
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}
