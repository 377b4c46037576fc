/* What a directory keeps when the store comes back from an older copy.  All
   revisions in a directory are of one era.  */

#ifndef BB_MARKED_DIRECTORY_ERA_H
#define BB_MARKED_DIRECTORY_ERA_H

#include "marked/state/directory.h"

/* A server that was removed without an announcement, and that the copy lists,
   may be dead.  Its entry expires after three missed heartbeats of a second
   each; the margin covers the delay of the store.  */
#define BB_LISTING_HOLD_TIME (5 * BB_SEC)

/* Returns RECORD, which lists the server HELD in a newer era, as it is to be
   applied.  A copy does not undo what happened to an incarnation of a server
   since: one that was draining does not become ready, and one that announced
   its end and is gone stays gone.  One that was removed otherwise, or of whose
   incarnation nothing is known, is withheld.  A record of an earlier
   incarnation changes the revision only; its removal lets one that is in use
   expire.  */
struct bb_server_record
bb_directory_reconcile (const struct bb_backend_server *held,
                        const struct bb_server_record *record, bb_usec now);

/* Moves all records of older eras into the era of REVISION, the state that the
   directory now holds, and starts the history of changes there.  To be called
   after the records of that state have been applied.  */
void bb_directory_enter_era (struct bb_directory *d, uint64_t revision,
                             bb_usec history_start);

/* Records that changes before REVISION, the state that the directory holds,
   do not lead to this state.  */
void bb_directory_restart_history (struct bb_directory *d, uint64_t revision,
                                   bb_usec history_start);

/* Whether the configuration held is not the one that the store had at the
   revision held, because it was kept when the store came back without it, or
   because it was not read.  The changes recorded here then do not lead to it.
 */
bool bb_directory_is_divergent (const struct bb_directory *d);
void bb_directory_set_divergent (struct bb_directory *d, bool is_divergent);

/* Keeps the configuration held beside the state of REVISION, which has an
   older one: no route or limit is newer than the state.  */
void bb_directory_keep_configuration (struct bb_directory *d,
                                      uint64_t revision);

/* Put the routes, and the limits of services, of the newer configuration C in
   force although the directory may hold the same ones at higher revisions; all
   get the revision of C.  */
void bb_directory_replace_routes (struct bb_directory *d,
                                  const struct bb_configuration *c,
                                  bb_usec now);
void bb_directory_replace_limits (struct bb_directory *d,
                                  const struct bb_configuration *c,
                                  bb_usec now);

/* Sets withheld servers whose time has passed to ready, and calls READY for
   each of them.  */
void bb_directory_release_withheld (
    struct bb_directory *d, bb_usec now,
    void (*ready) (void *context, struct bb_backend_server *server),
    void *context);
#endif
