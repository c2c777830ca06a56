#include "daemon/node/peers_status.h"

#include "io/clock.h"

#define AGE_UNKNOWN (-1) /* nothing was received */

static json_int_t
age_ms(uint64_t time_ms, uint64_t now_ms)
{
	return time_ms == 0 ? AGE_UNKNOWN : (json_int_t)(now_ms - time_ms);
}

static void
add_member(void *ctx, const at_peer_member_t *member)
{
	uint64_t now_ms = at_clock_now_ms();

	json_array_append_new(
	    ctx, json_pack("{s:s,s:s,s:s,s:o,s:b,s:b,s:b,s:I,s:I,s:I}", "name",
		     member->self.instance.text, "data_centre",
		     member->data_centre.text, "address", member->address,
		     "incarnation",
		     json_sprintf(
			 "%016llx", (unsigned long long)member->self.number),
		     "alive", member->is_alive, "leaving", member->is_leaving,
		     "listed", member->is_listed, "received_ms",
		     age_ms(member->received_at_ms, now_ms), "generation",
		     (json_int_t)member->versions[AT_PEER_DOCUMENT_CONFIG],
		     "checked_ms", age_ms(member->checked_at_ms, now_ms)));
}

/* Returns a new array of the readers of this data centre. */
static json_t *
list_readers(at_node_t *node)
{
	json_t *list = json_array();
	uint32_t rank;

	for (rank = 0; rank < AT_READERS_PER_DATA_CENTRE; rank++) {
		const at_name_t *reader = at_peers_owner(
		    node->peers, &node->data_centre, AT_READER_ROLE, rank);

		if (reader != NULL)
			json_array_append_new(list, json_string(reader->text));
	}
	return list;
}

void
at_peers_status_add(at_node_t *node, json_t *root)
{
	uint64_t config_age_ms = at_config_io_age_ms(node->config_io);
	json_t *members = json_array();

	at_peers_each(node->peers, add_member, members);
	json_object_set_new(root, "incarnation",
	    json_sprintf("%016llx", (unsigned long long)node->self.number));
	json_object_set_new(root, "config_age_ms",
	    json_integer(config_age_ms == UINT64_MAX
			     ? AGE_UNKNOWN
			     : (json_int_t)config_age_ms));
	json_object_set_new(root, "refused_generation",
	    json_integer(
		(json_int_t)at_config_io_rejected_version(node->config_io)));
	json_object_set_new(root, "instances_revision",
	    json_integer(
		(json_int_t)at_config_io_list_revision(node->config_io)));
	json_object_set_new(root, "reads_platform",
	    json_boolean(at_config_io_is_reader(node->config_io)));
	json_object_set_new(root, "readers", list_readers(node));
	json_object_set_new(root, "peers", members);
}
