#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "ctl/client.h"
#include "ctl/ctl.h"

static const char *
text_of(json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text == NULL ? "-" : text;
}

static long long
number_of(json_t *object, const char *field)
{
	return json_integer_value(json_object_get(object, field));
}

static const char *
yes_or_no(json_t *object, const char *field)
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
	    text_of(root, "incarnation"), number_of(root, "config_age_ms"));
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
		    text_of(peer, "name"), text_of(peer, "data_centre"),
		    text_of(peer, "address"), yes_or_no(peer, "alive"),
		    yes_or_no(peer, "leaving"), yes_or_no(peer, "listed"),
		    number_of(peer, "heard_ms"), number_of(peer, "generation"),
		    number_of(peer, "checked_ms"));
	}
	(void)printf("\n");
}

static void
print_status(json_t *root)
{
	json_t *backend;
	size_t i;

	(void)printf("instance     %s\ndata centre  %s\nstate        %s\n"
		     "generation   %lld\nplatform     answered %lld ms ago\n",
	    text_of(root, "name"), text_of(root, "data_centre"),
	    text_of(root, "state"), number_of(root, "generation"),
	    number_of(root, "platform_age_ms"));
	print_peers(root);
	(void)printf("%-20s %-8s %-12s %-22s %7s %8s %8s\n", "BACKEND SERVER",
	    "KIND", "DATA CENTRE", "ADDRESS", "LEAVING", "IN USE", "RESIDENT");
	json_array_foreach(json_object_get(root, "backends"), i, backend)
	{
		(void)printf("%-20s %-8s %-12s %-22s %7s %8lld %8lld\n",
		    text_of(backend, "name"), text_of(backend, "kind"),
		    text_of(backend, "data_centre"),
		    text_of(backend, "address"), yes_or_no(backend, "leaving"),
		    number_of(backend, "outstanding"),
		    number_of(backend, "resident"));
	}
}

at_code_t
ctl_status(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	client_answer_t answer;
	json_t *root;
	at_code_t code;

	(void)argv;
	if (argc != 1)
		return at_status_set(status, AT_INVALID,
		    "usage: almondctl status --daemon=IP:PORT");
	code = client_call(
	    "GET", o->daemon, "/status", NULL, NULL, 0, &answer, NULL, status);
	if (code != AT_OK)
		return code;
	root = json_loadb(answer.body, answer.len, 0, NULL);
	if (answer.http_status != 200 || root == NULL)
		code = at_status_set(status, AT_FAILED,
		    "the instance answered %ld", answer.http_status);
	else if (o->json)
		(void)printf("%s\n", answer.body);
	else
		print_status(root);
	json_decref(root);
	client_answer_free(&answer);
	return code;
}

static void
print_request(json_t *root)
{
	(void)printf("request  %s\npath     %s\nreason   %s\nverdict  %s\n"
		     "status   %lld\nage      %lld ms\n%s\n",
	    text_of(root, "request"), text_of(root, "path"),
	    text_of(root, "reason"), text_of(root, "verdict"),
	    number_of(root, "status"), number_of(root, "age_ms"),
	    text_of(root, "text"));
}

static void
print_model(json_t *root)
{
	json_t *entry;
	size_t i;

	(void)printf("model  %s\n", text_of(root, "model"));
	json_array_foreach(json_object_get(root, "resident_on"), i, entry)
	{
		(void)printf("on     %s in %s%s\n", text_of(entry, "engine"),
		    text_of(entry, "data_centre"),
		    json_is_true(json_object_get(entry, "leaving"))
			? ", leaving"
			: "");
	}
	json_array_foreach(json_object_get(root, "exceptions"), i, entry)
	{
		(void)printf("rule   %s %s %lld: %s\n", text_of(entry, "kind"),
		    text_of(entry, "engine"), number_of(entry, "value"),
		    text_of(entry, "reason"));
	}
	json_array_foreach(json_object_get(root, "decisions"), i, entry)
	{
		(void)printf("why    %s\n", json_string_value(entry));
	}
}

static at_code_t
print_explanation(
    const ctl_options_t *o, const client_answer_t *answer, at_status_t *status)
{
	json_t *root = json_loadb(answer->body, answer->len, 0, NULL);
	at_code_t code = AT_OK;

	if (answer->http_status == 404)
		code = at_status_set(
		    status, AT_NOT_FOUND, "%s", text_of(root, "error"));
	else if (answer->http_status != 200 || root == NULL)
		code = at_status_set(status, AT_FAILED,
		    "the instance answered %ld", answer->http_status);
	else if (o->json)
		(void)printf("%s\n", answer->body);
	else if (json_object_get(root, "request") != NULL)
		print_request(root);
	else
		print_model(root);
	json_decref(root);
	return code;
}

at_code_t
ctl_explain(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	client_answer_t answer;
	at_name_t name;
	char path[64 + AT_NAME_SIZE];
	at_code_t code;

	if (argc != 3 ||
	    (strcmp(argv[1], "request") != 0 && strcmp(argv[1], "model") != 0))
		return at_status_set(status, AT_INVALID,
		    "usage: almondctl explain request ID | model NAME");
	if (at_name_set(&name, argv[2]) != 0)
		return at_status_set(status, AT_INVALID,
		    "usage: '%s': expected an id or a name", argv[2]);
	(void)snprintf(
	    path, sizeof(path), "/explain?%s=%s", argv[1], name.text);
	code = client_call(
	    "GET", o->daemon, path, NULL, NULL, 0, &answer, NULL, status);
	if (code != AT_OK)
		return code;
	code = print_explanation(o, &answer, status);
	client_answer_free(&answer);
	return code;
}
