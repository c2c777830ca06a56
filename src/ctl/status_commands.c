#include <stdio.h>

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

static void
print_status(json_t *root)
{
	json_t *backend;
	size_t i;

	(void)printf("instance     %s\ndata centre  %s\nstate        %s\n"
		     "generation   %lld\nplatform     answered %lld ms ago\n\n",
	    text_of(root, "name"), text_of(root, "data_centre"),
	    text_of(root, "state"), number_of(root, "generation"),
	    number_of(root, "platform_age_ms"));
	(void)printf("%-20s %-8s %-12s %-22s %7s %8s %8s\n", "BACKEND SERVER",
	    "KIND", "DATA CENTRE", "ADDRESS", "LEAVING", "IN USE", "RESIDENT");
	json_array_foreach(json_object_get(root, "backends"), i, backend)
	{
		(void)printf("%-20s %-8s %-12s %-22s %7s %8lld %8lld\n",
		    text_of(backend, "name"), text_of(backend, "kind"),
		    text_of(backend, "data_centre"),
		    text_of(backend, "address"),
		    json_is_true(json_object_get(backend, "leaving")) ? "yes"
								      : "no",
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
