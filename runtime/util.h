/* Clocks, and the text form of addresses and endpoints.  */

#ifndef BB_RUNTIME_UTIL_H
#define BB_RUNTIME_UTIL_H

#include "core/core.h"
#include <sys/time.h>

enum
{
  BB_ENDPOINT_TEXT_SIZE = 24 /* bytes of "255.255.255.255:65535" and the NUL */
};

/* Return the time in microseconds of the boot-time clock, which includes time
   spent suspended, and of the wall clock.  */
bb_usec bb_clock_boot (void);
int64_t bb_clock_wall (void);

struct timeval bb_clock_timeval (bb_usec interval);

/* Returns INTERVAL shortened by a random fraction of up to PERCENT
   percent.  */
bb_usec bb_clock_jitter (GRand *random, bb_usec interval, unsigned percent);

/* Write "ADDRESS" or "ADDRESS:PORT" to TEXT and return TEXT.  */
const char *bb_address_to_text (char text[BB_ENDPOINT_TEXT_SIZE],
                                uint32_t address);
const char *bb_endpoint_to_text (char text[BB_ENDPOINT_TEXT_SIZE],
                                 const struct bb_endpoint *endpoint);

/* Parses "ADDRESS:PORT" with a numeric IPv4 address.  */
bool bb_endpoint_parse (const char *text, struct bb_endpoint *endpoint);
#endif
