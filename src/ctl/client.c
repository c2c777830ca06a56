#include "ctl/client.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define CLIENT_TIMEOUT_MS 5000L /* for one call */
#define URL_SIZE_BYTES 512

static size_t
on_body_data(char *data, size_t size, size_t count, void *ctx)
{
	client_response_t *response = ctx;
	size_t len = size * count;
	char *resized = realloc(response->body, response->len + len + 1);

	if (resized == NULL)
		return 0;
	memcpy(resized + response->len, data, len);
	response->body = resized;
	response->len += len;
	response->body[response->len] = '\0';
	return len;
}

static void
read_status_and_version(CURL *easy, client_response_t *response)
{
	struct curl_header *header = NULL;

	(void)curl_easy_getinfo(
	    easy, CURLINFO_RESPONSE_CODE, &response->http_status);
	if (curl_easy_header(easy, "X-Version", 0, CURLH_HEADER, -1, &header) ==
	    CURLHE_OK)
		response->version = strtoull(header->value, NULL, 10);
}

at_code_t
client_call(const char *method, const char *address, const char *path,
    const uint64_t *expect_version, const void *body, size_t len,
    client_response_t *response, int *sent, at_status_t *status)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	char url[URL_SIZE_BYTES];
	char expect[64];
	long sent_bytes = 0;
	CURLcode code;

	memset(response, 0, sizeof(*response));
	(void)snprintf(url, sizeof(url), "http://%s%s", address, path);
	if (expect_version != NULL) {
		(void)snprintf(expect, sizeof(expect),
		    "X-Expect-Version: %" PRIu64, *expect_version);
		headers = curl_slist_append(headers, expect);
	}
	(void)curl_easy_setopt(easy, CURLOPT_URL, url);
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CLIENT_TIMEOUT_MS);
	(void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_data);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
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
	read_status_and_version(easy, response);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	if (code == CURLE_OK)
		return AT_OK;
	return at_status_set(status, AT_UNAVAILABLE, "%s %s: %s", method, url,
	    curl_easy_strerror(code));
}

void
client_response_free(client_response_t *response)
{
	free(response->body);
	memset(response, 0, sizeof(*response));
}
