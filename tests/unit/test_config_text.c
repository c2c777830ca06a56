/* Differences between two versions of the configuration's text. */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "entry/store/config_text.h"

static const char *const texts[] = {
    "{\"v\":1,\"routes\":[{\"p\":\"/a/\"},{\"p\":\"/b/\"}]}",
    "{\"v\":2,\"routes\":[{\"p\":\"/a/\"},{\"p\":\"/c/\"},{\"p\":\"/b/\"}]}",
    "{\"v\":3,\"routes\":[{\"p\":\"/b/\",\"t\":0.25}]}"};

/* The versions that sender and receiver have, and whether the change fits. */
static const struct {
	const char *name;
	int sender[2];
	int receiver;
	int alter; /* of the message */
	int is_applied;
} cases[] = {{"the next version", {0, 1}, 0, 0, 1},
    {"the one after", {1, 2}, 1, 0, 1}, {"another base", {1, 2}, 0, 0, 0},
    {"no base", {0, 1}, -1, 0, 0}, {"an altered message", {0, 1}, 0, 1, 0}};

static void
set_text(at_config_text_t *config, int index)
{
	cr_assert_eq(at_config_text_set(config, (uint64_t)(10 + index),
			 texts[index], strlen(texts[index])),
	    0);
}

Test(config_text, makes_another_text)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_config_text_t *sender = at_config_text_new();
		at_config_text_t *receiver = at_config_text_new();
		ReportServer message = REPORT_SERVER__INIT;
		char *text;

		set_text(sender, cases[i].sender[0]);
		cr_expect_eq(at_config_text_fill(sender, &message), 0);
		set_text(sender, cases[i].sender[1]);
		cr_expect_gt(at_config_text_fill(sender, &message), 0);
		if (cases[i].receiver >= 0)
			set_text(receiver, cases[i].receiver);
		message.result_hash ^= (uint64_t)cases[i].alter;
		text = at_config_text_apply(receiver, &message);
		cr_expect_eq(
		    text != NULL, cases[i].is_applied, "%s", cases[i].name);
		if (text != NULL)
			cr_expect_str_eq(text, texts[cases[i].sender[1]]);
		free(text);
		at_config_text_delete(sender);
		at_config_text_delete(receiver);
	}
}
