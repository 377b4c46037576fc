/* Detection of servers that answer with errors or rejections while they seem
   healthy.

   Answers do not pass a balancer, but the acknowledgements of callers show how
   long each answer was.  An error or a rejection is far shorter than the usual
   answers of its route.  Routes differ and some have short answers, so the
   lengths of each route are learned, and a server is compared with the other
   servers of its service.  If most of them answer alike, the cause is the
   service or its requests, and no server is found failing.

   One balancer sees few answers of each server, so the balancers of a data
   centre report their counts to each other.  */

#ifndef BB_MARKED_ANSWER_QUALITY_H
#define BB_MARKED_ANSWER_QUALITY_H

#include "core/core.h"

enum
{
  BB_ANSWER_SAMPLES = 32, /* recent answers of a route, by their length */
  /* Limit of the answers of one server that a peer reports in a heartbeat.  */
  BB_ANSWER_REPORT_MAX = 100,
};

/* Lengths of the recent answers of a route, in bytes.  */
struct bb_answer_lengths
{
  uint16_t samples[BB_ANSWER_SAMPLES];
  uint16_t shortest_usual; /* shorter ones are outliers; 0: not known yet */
  uint8_t count;
  uint8_t next;
};

void bb_answer_lengths_add (struct bb_answer_lengths *l, uint32_t bytes);

/* Counts of answers by their length.  */
struct bb_answer_counts
{
  uint32_t usual;
  uint32_t outliers; /* far shorter than the usual answers of the route */
};

/* What a balancer tells its peers of a server in a heartbeat.  */
struct bb_answer_report
{
  struct bb_answer_counts counts; /* since the last heartbeat */
  bool is_failing;                /* by evidence of the sender */
};

/* Counts in which older answers have less weight.  */
struct bb_recent_answers
{
  double usual;
  double outliers;
  bb_usec updated;
};

/* Evidence on one server, from all balancers of the data centre.  */
struct bb_server_quality
{
  struct bb_recent_answers recent;
  /* Logarithm of the likelihood ratio between a failing and a usual server,
     over the answers since it was last 0.  */
  double evidence;
  struct bb_answer_counts unreported; /* seen here since the last heartbeat */
  bb_usec unreported_since;           /* time of the first of them */
  uint32_t usual_in_a_row;
  bool is_failing;
  bool is_adopted;       /* failing by reports of peers alone */
  uint8_t peer_reports;  /* that it is failing, since the next time */
  bb_usec reports_since; /* 0: none */
  bb_usec last_outlier;  /* 0: none */
  bb_usec recovered;     /* last end of a failure; 0: none */
};

/* Evidence on a service: the answers of its servers that are not failing.  */
struct bb_service_quality
{
  struct bb_recent_answers recent;
  uint32_t failures; /* servers found failing so far */
  struct bb_answer_counts total;
};

/* Adds COUNTS to the evidence on Q, a server of the service G.  */
void bb_answer_quality_add (struct bb_server_quality *q,
                            struct bb_service_quality *g,
                            const struct bb_answer_counts *counts,
                            bb_usec now);

/* Whether the evidence shows that the server fails far more often than the
   others.  */
bool bb_answer_quality_looks_failing (const struct bb_server_quality *q);

/* Whether the server, which is failing, answers again like the others, or has
   had no chance to for some time.  */
bool bb_answer_quality_looks_recovered (const struct bb_server_quality *q,
                                        const struct bb_service_quality *g,
                                        bb_usec now);

/* Mark the server as failing, or as recovered.  */
void bb_answer_quality_begin_failure (struct bb_server_quality *q,
                                      struct bb_service_quality *g,
                                      bb_usec now);
void bb_answer_quality_end_failure (struct bb_server_quality *q, bb_usec now);

/* Records the report of a peer that the server is failing.  Returns whether so
   many peers say so that a balancer without evidence, which has just started,
   adopts it.  What is adopted is not reported in turn, so that it does not
   outlast the evidence.  */
bool bb_answer_quality_add_peer_report (struct bb_server_quality *q,
                                        bb_usec now);

/* Whether one more of SERVERS servers may be found failing, of which FAILING
   are already.  Without this bound, the rest would be overloaded.  */
bool bb_answer_quality_may_fail (uint32_t failing, uint32_t servers);

/* Factor of the cost of placing a flow on the server: 1 if it is trusted,
   larger while it is failing.  After a failure it falls gradually, so that the
   balancers do not place all new flows on the server at once.  */
double bb_answer_quality_factor (const struct bb_server_quality *q,
                                 bb_usec now);

/* Adds COUNTS, seen at this balancer, to the next report.  */
void bb_answer_quality_note (struct bb_server_quality *q,
                             const struct bb_answer_counts *counts,
                             bb_usec now);

bool bb_answer_quality_has_report (const struct bb_server_quality *q);

/* Returns the report to the peers and removes its counts from Q.  Counts that
   are too old to be added to the recent ones are dropped.  */
struct bb_answer_report
bb_answer_quality_take_report (struct bb_server_quality *q, bb_usec now);

/* Whether COUNTS, the report of a peer on one server, can be true.  */
bool bb_answer_counts_are_plausible (const struct bb_answer_counts *counts);

/* Whether a report of SERVERS servers tells failing servers from others.  One
   in which most servers fail shows that the peer misjudges its routes, or that
   a service fails as a whole.  */
bool bb_answer_report_is_distinct (const struct bb_answer_report *report,
                                   uint32_t servers);
#endif
