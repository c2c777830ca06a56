/*
 * sync_impl.h - types shared by the files of sync: sync_watch.c has the copies
 * and their calls to the platform, sync_check.c the checks of the watches,
 * sync_confirm.c evidence that the list is complete up to a moment,
 * sync_documents.c what other instances are handed or ask for, sync_report.c
 * the reports, and sync.c the roles of reader and follower.
 */
#ifndef ALMONDTHREAD_ENTRY_SYNC_IMPL_H
#define ALMONDTHREAD_ENTRY_SYNC_IMPL_H

#include "almondthread/catch_up.h"
#include "almondthread/confirmation.h"
#include "almondthread/mirror.h"
#include "entry/store/config_text.h"
#include "entry/store/documents.h"
#include "entry/store/sync.h"
#include "platform/names.h"

/* Checks without a response at a time; the platform may be slow. */
#define CHECKS_MAX 4u

/* Copy of the platform's objects of one kind. */
typedef struct watcher {
	at_sync_t *sync;
	const char *kind;
	at_mirror_t *mirror;
	at_objects_call_t *call; /* open call, or NULL */
	uint64_t list_sent_ms;   /* when the first page was requested */
	uint64_t watch_sent_ms;  /* when the open or last watch was sent */
	uint64_t watched_ms;     /* the same of the last that responded */
	/* The changes that the platform had before are known here. */
	uint64_t confirmed_ms;
	int was_away;
	int is_fed;             /* the change comes from another instance */
	uint64_t away_since_ms; /* last confirmation before the last outage */
	at_catch_up_t catch_up;
	ev_timer timer;
} watcher_t;

#define CHANGES_MAX 24u /* backend servers in one report */

/* An object of the list that is to be sent. */
typedef struct object_change {
	char *name;
	char *spec; /* JSON text; NULL: the object was deleted */
	uint64_t version;
	int is_urgent;
} object_change_t;

/* The changes of the list that are sent in the next report. */
typedef struct object_changes {
	object_change_t servers[CHANGES_MAX];
	size_t count;
	size_t bytes;
	int has_more;  /* more than fit into one report */
	uint64_t from; /* version to which they are changes */
	ev_timer timer;
} object_changes_t;

/* Asks whether both copies have all changes. */
typedef struct check {
	at_sync_t *sync;
	at_objects_call_t *calls[2]; /* of the configuration, of the servers */
	uint64_t since[2];           /* versions that they start from */
	uint64_t sent_ms;            /* 0: not in use */
} check_t;

/* An open question of sync_confirm.c. */
typedef struct question {
	at_sync_t *sync;
	at_objects_call_t *call; /* NULL: none is open */
	uint64_t number;
	uint64_t since; /* version that it starts from */
	uint64_t sent_ms;
} question_t;

struct at_sync {
	at_sync_deps_t deps;
	at_documents_t *documents;
	at_config_text_t *config_text; /* of the configuration in force */
	object_changes_t changes;
	uint64_t started_ms;
	uint64_t rounds; /* of reports */
	watcher_t config;
	watcher_t servers;
	check_t checks[CHECKS_MAX];
	uint64_t check_after_ms; /* no check before this time */
	at_confirmation_t confirmation;
	question_t questions[AT_CONFIRMATION_OPEN_MAX];
	ev_timer question_timer;
	at_objects_call_t *list_call; /* see sync_check_list(), or NULL */
	uint64_t listed_ms;           /* when it last did */
	uint64_t responded_ms;        /* when the platform last did */
	uint32_t response_ms; /* time that the platform has been taking */
	/* The lower of the times of both copies. */
	uint64_t confirmed_ms;
	uint64_t steady_since_ms; /* confirmed since then without a gap */
	int is_reader;
	uint64_t reader_since_ms;
	int is_silent; /* the platform did not confirm in time to the reader */
	uint64_t reader_age_max_ms; /* as the reader has stated it */
	uint64_t reader_ms;         /* when it was last up to date */
	uint64_t config_wanted;     /* newest version that others have */
	uint64_t servers_wanted;    /* up to which others have all changes */
	/* Since when the list differs from the reader's; 0: it does not. */
	uint64_t differs_since_ms;
	ev_timer catch_up_timer;
	/* The last document that was filled. */
	ReportServer *objects_filled;
	ReportServer **object_list;
};

/* What an instance reports of its copies. */
typedef struct sync_copies {
	at_tag_t instance;
	int is_near; /* of this data centre */
	uint64_t config_version;
	uint64_t servers_since; /* it has all changes of servers up to it */
	/* Of a reader: */
	int reads;
	int platform_away;
	uint64_t servers_changed; /* it knows of no change after it */
	uint64_t servers_newest;  /* highest version stated for a change */
	uint64_t servers_digest;
	uint64_t age_ms;     /* of the platform's last confirmation */
	uint64_t age_max_ms; /* beyond which it gives way; 0: not stated */
	uint64_t steady_ms;  /* see at_sync_steady_ms() */
} sync_copies_t;

/* sync.c */
/*
 * sync_apply_copies() takes a report, after the changes in it. A follower
 * that has all changes that the reader has is as up to date as the reader;
 * otherwise it asks for the others.
 */
void sync_apply_copies(at_sync_t *sync, const sync_copies_t *report);
/* sync_fill_copies() fills what this instance reports. */
void sync_fill_copies(const at_sync_t *sync, sync_copies_t *report);

/* sync_watch.c */
/* Returns -1 if out of memory. */
int watcher_init(at_sync_t *sync, watcher_t *watcher, const char *kind,
    const at_mirror_sink_t *sink, uint32_t deletion_delay_ms);
void watcher_free(watcher_t *watcher);
/* Makes the call that is due. */
void watcher_process(watcher_t *watcher);
void watcher_set_timer(watcher_t *watcher);
void watcher_relist(watcher_t *watcher);
/* Drops the open watch, which may be deaf, and watches again. */
void watcher_watch_again(watcher_t *watcher);
void watcher_set_following(watcher_t *watcher, int following);
/* Drops the open list, since its objects are known from others. */
void watcher_drop_list(watcher_t *watcher);
/* Takes confirmation that changes before since_ms are known. */
void watcher_confirm(watcher_t *watcher, uint64_t since_ms);
/* Logs that the platform is away, or back, where that has changed. */
void watcher_log_platform(watcher_t *watcher, at_objects_code_t code);
/* What a copy of each kind does with its changes. */
at_mirror_sink_t watcher_config_sink(watcher_t *watcher);
at_mirror_sink_t watcher_servers_sink(watcher_t *watcher);

/* sync_check.c */
void sync_checks_cancel(at_sync_t *sync);
/*
 * sync_take_check() takes the response to a watch that was sent at sent_ms from
 * version since and responds at once. Returns non-zero if all changes that the
 * platform had when it responded are known.
 */
int sync_take_check(watcher_t *watcher, uint64_t since, uint64_t sent_ms,
    const at_objects_page_t *page);
/* Reads the whole configuration once in a while, whatever the watches say. */
void sync_check_list(at_sync_t *sync);

/* sync_confirm.c */
void sync_confirm_init(at_sync_t *sync);
void sync_confirm_cancel(at_sync_t *sync);

/* sync_documents.c */
/*
 * sync_feed_server() applies another instance's report of one backend
 * server; text is NULL when it was deleted. sync_feed_range() states that
 * these were all changes between two versions.
 */
void sync_feed_server(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len);
void sync_feed_range(at_sync_t *sync, uint64_t from, uint64_t to);
/* sync_feed_config() does so with the configuration. */
void sync_feed_config(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len);
/* Returns -1 if out of memory. */
int sync_documents_init(at_sync_t *sync);
void sync_documents_free(at_sync_t *sync);
/* Others have a newer configuration, or changes of servers up to a version. */
void sync_want_config(
    at_sync_t *sync, uint64_t config_version, uint32_t wait_ms);
void sync_want_servers(at_sync_t *sync, uint64_t since, uint32_t wait_ms);
/* Ends the wish if it has been met. */
void sync_note_config_known(at_sync_t *sync);
void sync_note_servers_known(at_sync_t *sync);
/* Asks for the complete list of servers. */
void sync_ask_for_all_servers(at_sync_t *sync, at_tag_t instance);

/* sync_report.c */
/* Returns -1 if out of memory. */
int sync_report_init(at_sync_t *sync);
void sync_report_free(at_sync_t *sync);
/*
 * sync_send_server() sends a backend server's object in the list to the
 * instances of this data centre; text is NULL when it was deleted. Objects
 * that change within two milliseconds are sent in one report; where they do not
 * fit, those of servers that leave (is_leaving) or were deleted go first.
 */
void sync_send_server(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len, int is_leaving);
/*
 * sync_note_config() takes a newer configuration object. A reader of the
 * platform's lists (is_reader non-zero) sends it to the same instances, as the
 * difference to the one before: in one report if that is small, else in parts.
 */
void sync_note_config(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len, int is_reader);

#endif
