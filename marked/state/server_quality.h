/* Servers of the directory that are failing by the evidence of their answers.
 */

#ifndef BB_MARKED_SERVER_QUALITY_H
#define BB_MARKED_SERVER_QUALITY_H

#include "marked/state/directory.h"

enum bb_quality_change
{
  BB_QUALITY_UNCHANGED,
  BB_QUALITY_FAILING,
  BB_QUALITY_RECOVERED
};

/* Adds the answers COUNTS of S.  */
enum bb_quality_change
bb_server_add_answers (struct bb_backend_server *s,
                       const struct bb_answer_counts *counts, bb_usec now);

/* Adds the report of a peer that S is failing.  */
enum bb_quality_change bb_server_add_peer_report (struct bb_backend_server *s,
                                                  bb_usec now);

/* Trusts S again if it is failing and the evidence allows it.  */
enum bb_quality_change bb_server_review_quality (struct bb_backend_server *s,
                                                 bb_usec now);

/* Event of CHANGE, which is not BB_QUALITY_UNCHANGED.  */
struct bb_event bb_server_quality_event (const struct bb_backend_server *s,
                                         enum bb_quality_change change);
#endif
