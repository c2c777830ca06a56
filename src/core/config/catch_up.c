#include "almondthread/catch_up.h"

void
at_catch_up_note_behind(
    at_catch_up_t *catch_up, uint64_t now_ms, uint32_t wait_ms)
{
	if (catch_up->behind_ms != 0)
		return;
	catch_up->behind_ms = now_ms;
	catch_up->ask_ms = now_ms + wait_ms;
	catch_up->read_ms = now_ms + wait_ms + AT_CATCH_UP_READ_MS;
	catch_up->asked = 0;
}

void
at_catch_up_note_progress(at_catch_up_t *catch_up, uint64_t now_ms)
{
	if (catch_up->behind_ms == 0)
		return;
	catch_up->ask_ms = now_ms + AT_CATCH_UP_RETRY_MS;
	catch_up->read_ms = now_ms + AT_CATCH_UP_READ_MS;
}

void
at_catch_up_note_current(at_catch_up_t *catch_up)
{
	catch_up->behind_ms = 0;
}

at_catch_up_step_t
at_catch_up_step(at_catch_up_t *catch_up, uint64_t now_ms)
{
	if (catch_up->behind_ms == 0)
		return AT_CATCH_UP_WAIT;
	if (now_ms >= catch_up->ask_ms) {
		catch_up->ask_ms = now_ms + AT_CATCH_UP_RETRY_MS;
		catch_up->asked++;
		return AT_CATCH_UP_ASK;
	}
	if (now_ms >= catch_up->read_ms) {
		catch_up->read_ms = now_ms + AT_CATCH_UP_READ_MS;
		return AT_CATCH_UP_READ;
	}
	return AT_CATCH_UP_WAIT;
}

uint64_t
at_catch_up_due_ms(const at_catch_up_t *catch_up)
{
	if (catch_up->behind_ms == 0)
		return UINT64_MAX;
	return catch_up->ask_ms < catch_up->read_ms ? catch_up->ask_ms
						    : catch_up->read_ms;
}
