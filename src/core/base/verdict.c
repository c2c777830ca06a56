#include "almondthread/verdict.h"

#include <assert.h>

const char *const at_verdict_names[] = {"not_run", "may_have_run", "ran"};

typedef struct reason_entry {
	int status;
	at_verdict_t verdict;
	const char *text;
} reason_entry_t;

const char *const at_reason_names[] = {
#define REASON_NAME(id, name, status, verdict, text) name,
    AT_REASON_LIST(REASON_NAME)
#undef REASON_NAME
};

static const reason_entry_t reasons[] = {
#define REASON_ROW(id, name, status, verdict, text) \
	{status, AT_VERDICT_##verdict, text},
    AT_REASON_LIST(REASON_ROW)
#undef REASON_ROW
};

int
at_reason_status(at_reason_t reason)
{
	assert(reason < AT_REASON_COUNT);
	return reasons[reason].status;
}

at_verdict_t
at_reason_verdict(at_reason_t reason)
{
	assert(reason < AT_REASON_COUNT);
	return reasons[reason].verdict;
}

const char *
at_reason_text(at_reason_t reason)
{
	assert(reason < AT_REASON_COUNT);
	return reasons[reason].text;
}
