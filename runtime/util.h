/* Clocks and endpoints.  */

#ifndef BB_RUNTIME_UTIL_H
#define BB_RUNTIME_UTIL_H

#include "core/core.h"
#include <sys/time.h>

enum
{
  BB_ENDPOINT_TEXT_SIZE = 24 /* bytes of "255.255.255.255:65535" and the NUL */
};

/* Microseconds of the boot-time clock and of the wall clock.  */
bb_usec bb_clock_boot (void);
int64_t bb_clock_wall (void);

struct timeval bb_clock_timeval (bb_usec interval);

/* INTERVAL shortened by a random share of up to PERCENT.  */
bb_usec bb_clock_jitter (GRand *random, bb_usec interval, unsigned percent);

/* Write "ADDRESS" or "ADDRESS:PORT" to TEXT and return TEXT.  */
const char *bb_address_to_text (char text[BB_ENDPOINT_TEXT_SIZE],
                                uint32_t address);
const char *bb_endpoint_to_text (char text[BB_ENDPOINT_TEXT_SIZE],
                                 const struct bb_endpoint *endpoint);

/* Reads "ADDRESS:PORT" with a numeric address.  */
bool bb_endpoint_parse (const char *text, struct bb_endpoint *endpoint);
#endif
