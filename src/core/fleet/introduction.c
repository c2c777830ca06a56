#include "almondthread/introduction.h"

#define MS_PER_S 1000u

void
at_introduction_init(
    at_introduction_t *introduction, uint64_t now_ms, uint64_t draw)
{
	introduction->ask_ms =
	    now_ms + AT_INTRODUCTION_FIRST_MS + draw % AT_INTRODUCTION_FIRST_MS;
	introduction->retry_ms = AT_INTRODUCTION_RETRY_MS;
	introduction->asked = 0;
	introduction->answered_ms = now_ms;
	introduction->answers = AT_INTRODUCTION_ANSWERS_PER_S;
}

int
at_introduction_is_due(
    at_introduction_t *introduction, uint64_t now_ms, uint64_t draw)
{
	uint32_t retry_ms = introduction->retry_ms;

	if (now_ms < introduction->ask_ms)
		return 0;
	introduction->ask_ms = now_ms + retry_ms + draw % (retry_ms / 2u);
	introduction->retry_ms = 2u * retry_ms < AT_INTRODUCTION_RETRY_MAX_MS
				     ? 2u * retry_ms
				     : AT_INTRODUCTION_RETRY_MAX_MS;
	introduction->asked++;
	return 1;
}

int
at_introduction_may_answer(at_introduction_t *introduction, uint64_t now_ms)
{
	uint64_t refilled = (now_ms - introduction->answered_ms) *
			    AT_INTRODUCTION_ANSWERS_PER_S / MS_PER_S;

	if (refilled > 0) {
		refilled += introduction->answers;
		introduction->answers = refilled < AT_INTRODUCTION_ANSWERS_PER_S
					    ? (uint32_t)refilled
					    : AT_INTRODUCTION_ANSWERS_PER_S;
		introduction->answered_ms = now_ms;
	}
	if (introduction->answers == 0)
		return 0;
	introduction->answers--;
	return 1;
}
