#include "almondthread/confirmation.h"

#define QUESTIONS_PER_S 400u /* of all instances */
#define INTERVAL_MIN_MS 20u
/* With more instances than this allows, few of them ask at the same time. */
#define INTERVAL_MAX_MS 250u
#define MS_PER_S 1000u

static uint32_t
interval_ms(uint32_t instances)
{
	uint64_t ms = (uint64_t)instances * MS_PER_S / QUESTIONS_PER_S;

	if (ms < INTERVAL_MIN_MS)
		return INTERVAL_MIN_MS;
	return ms > INTERVAL_MAX_MS ? INTERVAL_MAX_MS : (uint32_t)ms;
}

uint64_t
at_confirmation_take(at_confirmation_t *confirmation)
{
	confirmation->wanted = confirmation->sent + 1u;
	return confirmation->wanted;
}

int
at_confirmation_covers(const at_confirmation_t *confirmation, uint64_t ticket)
{
	return confirmation->confirmed >= ticket;
}

uint64_t
at_confirmation_due_ms(
    const at_confirmation_t *confirmation, uint32_t instances)
{
	if (confirmation->wanted <= confirmation->sent ||
	    confirmation->open_count >= AT_CONFIRMATION_OPEN_MAX)
		return UINT64_MAX;
	return confirmation->sent == 0
		   ? 0
		   : confirmation->sent_ms + interval_ms(instances);
}

uint64_t
at_confirmation_next(
    at_confirmation_t *confirmation, uint32_t instances, uint64_t now_ms)
{
	if (now_ms < at_confirmation_due_ms(confirmation, instances))
		return 0;
	confirmation->sent_ms = now_ms;
	confirmation->open_count++;
	return ++confirmation->sent;
}

void
at_confirmation_end(at_confirmation_t *confirmation, uint64_t number,
    int is_confirmed, uint64_t now_ms)
{
	confirmation->open_count--;
	confirmation->failed_ms = is_confirmed ? 0 : now_ms;
	if (is_confirmed && number > confirmation->confirmed)
		confirmation->confirmed = number;
}

int
at_confirmation_is_failing(
    const at_confirmation_t *confirmation, uint64_t now_ms)
{
	return confirmation->failed_ms != 0 &&
	       now_ms < confirmation->failed_ms + AT_CONFIRMATION_TIMEOUT_MS;
}
