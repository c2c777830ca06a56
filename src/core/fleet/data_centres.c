/*
 * data_centres.c - which data centres are evacuated, and in which regions they
 * are.
 *
 * It is designed for this load pattern: all servers of a data centre stop
 * taking requests at once, under load, and its requests go on elsewhere; and a
 * part of the requests may run in some regions only.
 */
#include <string.h>

#include "core/fleet/fleet_private.h"

static const fleet_data_centre_t *
find(const at_fleet_t *fleet, at_tag_t tag)
{
	size_t i;

	for (i = 0; i < fleet->data_centre_count; i++) {
		if (fleet->data_centres[i].tag == tag)
			return &fleet->data_centres[i];
	}
	return NULL;
}

/* Returns NULL if there are too many. */
static fleet_data_centre_t *
find_or_add(at_fleet_t *fleet, at_tag_t tag)
{
	const fleet_data_centre_t *known = find(fleet, tag);
	fleet_data_centre_t *added;

	if (known != NULL)
		return &fleet->data_centres[known - fleet->data_centres];
	if (fleet->data_centre_count == AT_FLEET_DATA_CENTRES_MAX)
		return NULL;
	added = &fleet->data_centres[fleet->data_centre_count++];
	*added = (fleet_data_centre_t){.tag = tag};
	return added;
}

void
data_centres_apply(const at_fleet_t *fleet, at_server_t *server)
{
	const fleet_data_centre_t *known =
	    find(fleet, server->entry.data_centre);

	server->is_evacuated = known != NULL && known->is_evacuated;
	server->region = known == NULL ? 0 : known->region;
}

static void
apply_to_all(at_fleet_t *fleet)
{
	at_server_t *server;

	for (server = fleet->servers; server != NULL; server = server->hh.next)
		data_centres_apply(fleet, server);
}

int
at_fleet_set_evacuated(
    at_fleet_t *fleet, at_tag_t data_centre, int is_evacuated)
{
	fleet_data_centre_t *known = find_or_add(fleet, data_centre);

	if (known == NULL)
		return -1;
	known->is_evacuated = is_evacuated;
	apply_to_all(fleet);
	return 0;
}

int
at_fleet_set_region(at_fleet_t *fleet, at_tag_t data_centre, at_tag_t region)
{
	fleet_data_centre_t *known = find_or_add(fleet, data_centre);

	if (known == NULL)
		return -1;
	known->region = region;
	apply_to_all(fleet);
	return 0;
}

/* Returns the tag of a part of a text, 0 if it is empty or too long. */
static at_tag_t
tag_of(const char *text, size_t len)
{
	at_name_t name = {.text = ""};

	if (len > AT_NAME_MAX)
		return 0;
	memcpy(name.text, text, len);
	return at_tag_from_text(name.text);
}

int
at_fleet_set_regions(at_fleet_t *fleet, const char *text)
{
	while (*text != '\0') {
		size_t len = strcspn(text, ",");
		size_t name_len = strcspn(text, ":");
		at_tag_t data_centre;

		if (name_len >= len)
			return -1;
		data_centre = tag_of(text, name_len);
		if (data_centre == 0 ||
		    at_fleet_set_region(fleet, data_centre,
			tag_of(text + name_len + 1, len - name_len - 1)) != 0)
			return -1;
		text += len;
		text += *text == ',';
	}
	return 0;
}

at_tag_t
at_fleet_region(const at_fleet_t *fleet, at_tag_t data_centre)
{
	const fleet_data_centre_t *known = find(fleet, data_centre);

	return known == NULL ? 0 : known->region;
}

int
at_fleet_has_regions(const at_fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->data_centre_count; i++) {
		if (fleet->data_centres[i].region != 0)
			return 1;
	}
	return 0;
}

int
at_server_is_evacuated(const at_server_t *server)
{
	return server->is_evacuated;
}

int
at_work_allows_region(const at_work_t *work, at_tag_t region)
{
	size_t i;

	for (i = 0; i < AT_WORK_REGIONS_MAX; i++) {
		if (work->regions[i] != NULL &&
		    !at_site_allows_region(work->regions[i], region))
			return 0;
	}
	return 1;
}
