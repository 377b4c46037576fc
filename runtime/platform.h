/* Source of configuration documents.  An implementation delivers each document
   that it reads and keeps polling for newer ones; it does not validate
   them.  */

#ifndef BB_RUNTIME_PLATFORM_H
#define BB_RUNTIME_PLATFORM_H

#include "config/config.h"

struct event_base;

/* Result of offering a document.  */
enum bb_offer
{
  BB_OFFER_ACCEPTED, /* now in force */
  BB_OFFER_SAME,     /* already in force */
  BB_OFFER_WAITING,  /* valid only with a base or overlay that has not arrived
                        yet; stored until then */
  BB_OFFER_OLDER,    /* version lower than the one in force */
  BB_OFFER_REFUSED   /* invalid, or the version in force with other content */
};

struct bb_platform_sink
{
  /* Delivers a document.  VERSION is the announced version of the document, or
     0 if no version was announced.  */
  enum bb_offer (*document) (void *context, enum bb_document_kind kind,
                             uint64_t version, const uint8_t *bytes,
                             size_t length);
  /* Reports that the platform has no document of KIND.  */
  void (*absent) (void *context, enum bb_document_kind kind);
  /* Returns the version of KIND in force, 0 if none is.  */
  uint64_t (*version) (void *context, enum bb_document_kind kind);
};

struct bb_platform_status
{
  bb_usec failed_since; /* 0 while the platform is reachable */
  uint64_t reads;
  uint64_t failures;
  uint64_t received_bytes;
  bool serves_older[BB_DOCUMENT_KINDS]; /* older than the version in force */
};

/* State common to all implementations; owned by platform.c.  */
struct bb_platform
{
  struct event_base *loop;
  const char *location; /* directory or ADDRESS:PORT */
  const char *data_centre;
  GRand *random;
  const struct bb_platform_sink *sink;
  void *context;
  struct bb_platform_status status;
  const struct bb_platform_ops *ops;
  void *state; /* private data of the implementation */
};

struct bb_platform_ops
{
  const char *name;
  /* Starts reading.  Returns the private data, or NULL with BB_ERROR_IO set if
     LOCATION is unusable.  */
  void *(*start) (struct bb_platform *platform, GError **error);
  void (*stop) (void *state);
};

extern const struct bb_platform_ops bb_platform_http;
extern const struct bb_platform_ops bb_platform_directory;

/* LOCATION, DATA_CENTRE, RANDOM and SINK must outlive the platform.  */
struct bb_platform *bb_platform_new (enum bb_platform_kind kind,
                                     struct event_base *loop,
                                     const char *location,
                                     const char *data_centre, GRand *random,
                                     const struct bb_platform_sink *sink,
                                     void *context, GError **error);
void bb_platform_free (struct bb_platform *platform);

/* For implementations: records whether the platform answered a read.  */
void bb_platform_record_read (struct bb_platform *platform, bool is_answered);

/* For implementations: delivers a document.  */
enum bb_offer bb_platform_offer (struct bb_platform *platform,
                                 enum bb_document_kind kind, uint64_t version,
                                 const uint8_t *bytes, size_t length);
#endif
