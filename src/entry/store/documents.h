/*
 * documents.h - documents that instances send each other in parts: changes of
 * the configuration or of the list of backend servers that are too large for
 * one report, or that an instance asks for because it lacks them.
 *
 * A document is spread over a data centre along a tree (at_roster_children()),
 * each part for itself, so that no instance sends it more often than it has
 * branches. Whoever lacks parts asks for them. Parts wait for each other and
 * take at most a part of the link; what must arrive soon does not wait for
 * them.
 */
#ifndef ALMONDTHREAD_ENTRY_DOCUMENTS_H
#define ALMONDTHREAD_ENTRY_DOCUMENTS_H

#include <ev.h>

#include "almondthread/counters.h"
#include "almondthread/roster.h"
#include "report.pb-c.h"

typedef enum at_document_kind {
	AT_DOCUMENT_CONFIG = 1,
	AT_DOCUMENT_SERVERS = 2,
	AT_DOCUMENT_KIND_COUNT
} at_document_kind_t;

/* What a document leads from and to: versions of the platform; base 0: any. */
typedef struct at_document_range {
	uint64_t base;
	uint64_t version;
} at_document_range_t;

/* What the owner does for the documents. */
typedef struct at_documents_port {
	/* Sends a report of an instance in one datagram. */
	void (*send)(void *ctx, const char *address, const Report *report);
	/*
	 * Fills message with the changes since a version, which stay valid
	 * until the next call. Returns 0, or -1 if there is nothing to send.
	 */
	int (*fill)(void *ctx, at_document_kind_t kind, uint64_t have,
	    ReportDocument *message, at_document_range_t *range);
	/* Applies a document that is complete. */
	void (*apply)(void *ctx, at_document_kind_t kind,
	    const ReportDocument *message, const at_document_range_t *range);
	/* A part of one that is newer has arrived. */
	void (*note_progress)(void *ctx, at_document_kind_t kind);
	void *ctx;
} at_documents_port_t;

typedef struct at_documents at_documents_t;

/*
 * at_documents_new() returns NULL if out of memory. roster and counters are
 * borrowed. link_mbps is the rate of the instance's link.
 */
at_documents_t *at_documents_new(struct ev_loop *loop, at_roster_t *roster,
    at_counters_t *counters, at_tag_t self, at_tag_t data_centre,
    double link_mbps, const at_documents_port_t *port);
void at_documents_delete(at_documents_t *documents);

/*
 * at_documents_spread() sends the changes since a version to the instances of
 * this data centre.
 */
void at_documents_spread(
    at_documents_t *documents, at_document_kind_t kind, uint64_t have);
/*
 * at_documents_ask() asks an instance for what is newer than have, or for the
 * missing parts of a document of which some have arrived. have is 0 if all is
 * lacking.
 */
void at_documents_ask(at_documents_t *documents,
    const at_roster_member_t *member, at_document_kind_t kind, uint64_t have);
/* at_documents_apply_report() takes the parts and requests in a report. */
void at_documents_apply_report(at_documents_t *documents, const Report *report);

#endif
