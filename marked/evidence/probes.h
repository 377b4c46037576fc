/* Probes of one server that is silent: packets of its open flows that a
   balancer sends several times.

   A live server acknowledges every second packet of a flow that it holds, so
   it acknowledges a probe several times, however long the request takes, and
   though some of the packets are lost either way.  The acknowledgements go
   directly from the server to the caller.  A caller that has one does not
   retransmit again; one that does has none.  */

#ifndef BB_MARKED_PROBES_H
#define BB_MARKED_PROBES_H

#include "core/core.h"

enum
{
  BB_PROBES_KEPT = 8, /* the latest ones of a server */
  BB_PROBES_PENDING_MAX = 4,
};

enum bb_probe_outcome
{
  BB_PROBE_NONE,
  BB_PROBE_PENDING,
  /* The caller retransmitted again.  */
  BB_PROBE_FAILED,
  /* The same, and the link of the balancer worked all the time.  */
  BB_PROBE_FAILED_ON_LINK,
};

struct bb_probe
{
  bb_usec sent;
  uint32_t wait_ms; /* until the caller retransmits again */
  enum bb_probe_outcome outcome;
};

struct bb_probes
{
  struct bb_probe items[BB_PROBES_KEPT];
};

struct bb_probe_counts
{
  uint32_t failed;
  uint32_t answered;
  /* When the first one that failed was sent; if none did, the last one that
     was answered; 0: none.  */
  bb_usec since;
};

/* Requests that were sent together, and their retransmissions, arrive within
   this time of each other.  */
#define BB_PROBES_SPREAD (40 * BB_MSEC)

/* Whether few enough probes are pending that one more may be sent.  */
bool bb_probes_may_add (const struct bb_probes *p, bb_usec now);

/* Records a probe that is sent NOW.  Without an acknowledgement the caller
   retransmits after WAIT.  */
void bb_probes_add (struct bb_probes *p, bb_usec wait, bb_usec now);

/* Records that the probe sent at SENT has failed.  Returns false if it is not
   known any more.  */
bool bb_probes_fail (struct bb_probes *p, bb_usec sent, bool has_link_worked);

/* Forgets the probe sent at SENT, which shows nothing.  */
void bb_probes_withdraw (struct bb_probes *p, bb_usec sent);

/* Counts the probes that failed since SINCE; for a report to peers
   (IS_REPORT), only those on a link that worked.  Pending ones count as
   answered if the next retransmission is due, unless they were sent before the
   first one that failed: the server may have died in between.  Here those that
   are due soon count, too, so that requests that were sent together are
   compared; in a report they do not before the retransmission is overdue.  */
struct bb_probe_counts bb_probes_count (const struct bb_probes *p,
                                        bb_usec since, bool is_report,
                                        bb_usec now);
#endif
