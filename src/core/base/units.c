#include "almondthread/units.h"

#include <string.h>

static int
is_name_byte(unsigned char c)
{
	if (c >= 'a' && c <= 'z')
		return 1;
	if (c >= 'A' && c <= 'Z')
		return 1;
	if (c >= '0' && c <= '9')
		return 1;
	return c != '\0' && strchr("._:/-", c) != NULL;
}

int
at_name_set(at_name_t *name, const char *text)
{
	size_t len = text == NULL ? 0 : strlen(text);
	size_t i;

	memset(name, 0, sizeof(*name));
	if (len == 0 || len > AT_NAME_MAX)
		return -1;
	for (i = 0; i < len; i++) {
		if (!is_name_byte((unsigned char)text[i]))
			return -1;
	}
	memcpy(name->text, text, len);
	return 0;
}

int
at_name_equal(const at_name_t *a, const at_name_t *b)
{
	return strcmp(a->text, b->text) == 0;
}
