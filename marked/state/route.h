/* Routes: the services among which the new flows of an address are split, and
   those to which it led before.  */

#ifndef BB_MARKED_ROUTE_H
#define BB_MARKED_ROUTE_H

#include "core/keys.h"
#include "marked/evidence/answer_quality.h"
#include "marked/state/list.h"

/* Flows on the platform last 60 s at most (flow-lifetime of its settings).
   The margin covers clock differences and packets in transit.  */
#define BB_DIRECTORY_RETENTION (75 * BB_SEC)

enum
{
  BB_ROUTE_SERVICES = 4, /* in one record of a route */
  BB_ROUTE_FORMER = 8,   /* former services in one record of a route */
};

/* A service is a bb_key; from an older build, the key of an unnamed hash.  */
struct bb_route_share
{
  uint64_t service;
  uint32_t weight;
};

/* A service to whose servers a route led until AGE_MS ago.  */
struct bb_former_service
{
  uint64_t service;
  uint32_t age_ms;
};

/* A route, or a part of one: a route that has or had more services than one
   record holds is described by several records of the same address and
   revision.  They follow each other, and each of them has a share unless the
   route was dropped.  */
struct bb_route_record
{
  struct bb_endpoint address; /* that callers connect to */
  struct bb_route_share shares[BB_ROUTE_SERVICES];
  uint32_t share_count;  /* 0: the route was dropped */
  uint32_t objective_ms; /* latency objective; 0: none */
  uint32_t priority;     /* 0: the most urgent */
  struct bb_former_service former[BB_ROUTE_FORMER];
  uint32_t former_count;
  uint64_t revision;
};

/* A former service of a route.  There may be flows to its servers for
   BB_DIRECTORY_RETENTION after it left the route.  */
struct bb_route_former
{
  uint64_t service;
  bb_usec left;
};

struct bb_route
{
  struct bb_endpoint address;
  struct bb_route_share *shares; /* by service, each one once */
  uint32_t share_count;          /* 0: the route was dropped */
  uint32_t objective_ms;         /* as in struct bb_route_record */
  uint32_t priority;
  struct bb_route_former *former; /* by service, without those in shares */
  uint32_t former_count;
  uint64_t revision;
  bb_usec dropped; /* 0: in force */
  struct bb_answer_lengths answers;
  struct bb_link by_revision;
};

/* Returns how many of the COUNT records that start at RECORDS describe the
   first route.  */
size_t bb_route_record_count (const struct bb_route_record *records,
                              size_t count);

/* Sorts RECORDS, so that those of one route follow each other.  */
void bb_route_records_sort (GArray *records);

/* Returns the number of records that describe ROUTE, and fills in RECORD with
   the one of INDEX, from 0.  */
uint32_t bb_route_get_record (const struct bb_route *route, uint32_t index,
                              struct bb_route_record *record, bb_usec now);

/* Whether the COUNT records of one route change nothing but its revision and
   former services.  */
bool bb_route_is_same (const struct bb_route *route,
                       const struct bb_route_record *records, size_t count);

/* Sets ROUTE to the COUNT records of one route.  */
void bb_route_set (struct bb_route *route,
                   const struct bb_route_record *records, size_t count,
                   bb_usec now);

/* Forgets the services that left ROUTE longer ago than the retention.  */
void bb_route_expire_former (struct bb_route *route, bb_usec now);
void bb_route_free (gpointer route);

/* Whether ROUTE leads to SERVICE, or did so within the retention.  */
bool bb_route_allows_service (const struct bb_route *route, uint64_t service);
#endif
