/* Where documents come from.  An implementation hands over each document that
   it reads and keeps asking for newer ones; it judges none of them.  */

#ifndef BB_RUNTIME_PLATFORM_H
#define BB_RUNTIME_PLATFORM_H

#include "config/config.h"

struct event_base;

/* What became of a document that was offered.  */
enum bb_offer
{
  BB_OFFER_ACCEPTED, /* in force */
  BB_OFFER_SAME,     /* was in force already */
  BB_OFFER_WAITING,  /* kept until its counterpart arrives */
  BB_OFFER_OLDER,    /* below the version in force */
  BB_OFFER_REFUSED   /* not valid, or other content for the same version */
};

struct bb_platform_sink
{
  /* A document was read.  VERSION is the one announced beside it, 0 if
     none.  */
  enum bb_offer (*document) (void *context, enum bb_document_kind kind,
                             uint64_t version, const uint8_t *bytes,
                             size_t length);
  /* The platform has no document of KIND.  */
  void (*absent) (void *context, enum bb_document_kind kind);
  /* Version in force of KIND, 0: none.  */
  uint64_t (*version) (void *context, enum bb_document_kind kind);
};

struct bb_platform_status
{
  bb_usec failed_since; /* 0: reachable */
  uint64_t reads;
  uint64_t failures;
  uint64_t received_bytes;
  bool serves_older[BB_DOCUMENT_KINDS]; /* serves less than the version in
                                           force */
};

/* What an implementation works with; owned by platform.c.  */
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
  void *state; /* of the implementation */
};

struct bb_platform_ops
{
  const char *name;
  /* Starts to read.  Returns the state, or NULL with BB_ERROR_IO set if the
     location cannot be used at all.  */
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

/* For implementations: note that the platform is_answered, or did not.  */
void bb_platform_record_read (struct bb_platform *platform, bool is_answered);

/* For implementations: hands over a document.  */
enum bb_offer bb_platform_offer (struct bb_platform *platform,
                                 enum bb_document_kind kind, uint64_t version,
                                 const uint8_t *bytes, size_t length);
#endif
