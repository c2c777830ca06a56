/* The commands status and explain, which request the state of an instance. */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "ctl/client.h"
#include "ctl/ctl.h"

static const char *
text_field(json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text == NULL ? "-" : text;
}

static long long
number_field(json_t *object, const char *field)
{
	return json_integer_value(json_object_get(object, field));
}

static const char *
flag_field(json_t *object, const char *field)
{
	return json_is_true(json_object_get(object, field)) ? "yes" : "no";
}

static void
print_peers(json_t *root)
{
	json_t *peer;
	json_t *reader;
	size_t i;

	(void)printf("incarnation  %s\nconfig age   %lld ms\nreaders     ",
	    text_field(root, "incarnation"),
	    number_field(root, "config_age_ms"));
	json_array_foreach(json_object_get(root, "readers"), i, reader)
	{
		(void)printf(" %s", json_string_value(reader));
	}
	(void)printf("\n\n%-20s %-12s %-22s %5s %7s %6s %8s %10s %10s\n",
	    "PEER", "DATA CENTRE", "ADDRESS", "ALIVE", "LEAVING", "LISTED",
	    "HEARD MS", "GENERATION", "CHECKED MS");
	json_array_foreach(json_object_get(root, "peers"), i, peer)
	{
		(void)printf(
		    "%-20s %-12s %-22s %5s %7s %6s %8lld %10lld %10lld\n",
		    text_field(peer, "name"), text_field(peer, "data_centre"),
		    text_field(peer, "address"), flag_field(peer, "alive"),
		    flag_field(peer, "leaving"), flag_field(peer, "listed"),
		    number_field(peer, "received_ms"),
		    number_field(peer, "generation"),
		    number_field(peer, "checked_ms"));
	}
	(void)printf("\n");
}

static void
print_status(json_t *root)
{
	json_t *backend;
	size_t i;

	(void)printf("instance     %s\ndata centre  %s\nstate        %s\n"
		     "generation   %lld\nplatform     responded %lld ms ago\n",
	    text_field(root, "name"), text_field(root, "data_centre"),
	    text_field(root, "state"), number_field(root, "generation"),
	    number_field(root, "platform_age_ms"));
	print_peers(root);
	(void)printf("%-20s %-8s %-12s %-22s %7s %8s %8s\n", "BACKEND SERVER",
	    "KIND", "DATA CENTRE", "ADDRESS", "LEAVING", "IN USE", "RESIDENT");
	json_array_foreach(json_object_get(root, "backends"), i, backend)
	{
		(void)printf("%-20s %-8s %-12s %-22s %7s %8lld %8lld\n",
		    text_field(backend, "name"), text_field(backend, "kind"),
		    text_field(backend, "data_centre"),
		    text_field(backend, "address"),
		    flag_field(backend, "leaving"),
		    number_field(backend, "outstanding"),
		    number_field(backend, "resident"));
	}
}

at_code_t
ctl_status(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	client_response_t response;
	json_t *root;
	at_code_t code;

	(void)argv;
	if (argc != 1)
		return at_status_set(status, AT_INVALID,
		    "usage: almondctl status --daemon=IP:PORT");
	code = client_call("GET", options->daemon, "/status", NULL, NULL, 0,
	    &response, NULL, status);
	if (code != AT_OK)
		return code;
	root = json_loadb(response.body, response.len, 0, NULL);
	if (response.http_status != 200 || root == NULL)
		code = at_status_set(status, AT_FAILED,
		    "the instance returned HTTP %ld", response.http_status);
	else if (options->json)
		(void)printf("%s\n", response.body);
	else
		print_status(root);
	json_decref(root);
	client_response_free(&response);
	return code;
}

static void
print_request(json_t *root)
{
	(void)printf("request  %s\npath     %s\nreason   %s\nverdict  %s\n"
		     "status   %lld\nage      %lld ms\n%s\n",
	    text_field(root, "request"), text_field(root, "path"),
	    text_field(root, "reason"), text_field(root, "verdict"),
	    number_field(root, "status"), number_field(root, "age_ms"),
	    text_field(root, "text"));
}

static void
print_model(json_t *root)
{
	json_t *entry;
	size_t i;

	(void)printf("model  %s\n", text_field(root, "model"));
	json_array_foreach(json_object_get(root, "resident_on"), i, entry)
	{
		(void)printf("on     %s in %s%s\n", text_field(entry, "engine"),
		    text_field(entry, "data_centre"),
		    json_is_true(json_object_get(entry, "leaving"))
			? ", leaving"
			: "");
	}
	json_array_foreach(json_object_get(root, "exceptions"), i, entry)
	{
		(void)printf("rule   %s %s %lld: %s\n",
		    text_field(entry, "kind"), text_field(entry, "engine"),
		    number_field(entry, "value"), text_field(entry, "reason"));
	}
	json_array_foreach(json_object_get(root, "decisions"), i, entry)
	{
		(void)printf("why    %s\n", json_string_value(entry));
	}
}

static at_code_t
print_explanation(const ctl_options_t *options,
    const client_response_t *response, at_status_t *status)
{
	json_t *root = json_loadb(response->body, response->len, 0, NULL);
	at_code_t code = AT_OK;

	if (response->http_status == 404)
		code = at_status_set(
		    status, AT_NOT_FOUND, "%s", text_field(root, "error"));
	else if (response->http_status != 200 || root == NULL)
		code = at_status_set(status, AT_FAILED,
		    "the instance returned HTTP %ld", response->http_status);
	else if (options->json)
		(void)printf("%s\n", response->body);
	else if (json_object_get(root, "request") != NULL)
		print_request(root);
	else
		print_model(root);
	json_decref(root);
	return code;
}

at_code_t
ctl_explain(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	client_response_t response;
	at_name_t name;
	char path[64 + AT_NAME_SIZE];
	at_code_t code;

	if (argc != 3 ||
	    (strcmp(argv[1], "request") != 0 && strcmp(argv[1], "model") != 0))
		return at_status_set(status, AT_INVALID,
		    "usage: almondctl explain request ID | model NAME");
	if (at_name_set(&name, argv[2]) != 0)
		return at_status_set(status, AT_INVALID,
		    "usage: '%s': expected a request ID or a model name",
		    argv[2]);
	(void)snprintf(
	    path, sizeof(path), "/explain?%s=%s", argv[1], name.text);
	code = client_call("GET", options->daemon, path, NULL, NULL, 0,
	    &response, NULL, status);
	if (code != AT_OK)
		return code;
	code = print_explanation(options, &response, status);
	client_response_free(&response);
	return code;
}
