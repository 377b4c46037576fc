/* Judges documents from the platform and from peers, and puts the newest
   valid ones in force.  */

#ifndef BB_RUNTIME_DOCUMENTS_H
#define BB_RUNTIME_DOCUMENTS_H

#include "runtime/platform.h"

struct bb_process;
struct bb_documents;

struct bb_documents *bb_documents_new (struct bb_process *p);
void bb_documents_free (struct bb_documents *d);

/* VERSION is the one announced beside the document, 0 if none.  SOURCE is
   "platform" or "peer".  */
enum bb_offer bb_documents_offer (struct bb_documents *d,
                                  enum bb_document_kind kind, uint64_t version,
                                  const uint8_t *bytes, size_t length,
                                  const char *source);

/* There is no overlay for this data centre; a base may be used alone.  */
void bb_documents_set_overlay_absent (struct bb_documents *d);

/* Whether a base waits because it is unknown whether an overlay exists.  */
bool bb_documents_is_base_waiting (const struct bb_documents *d);

uint64_t bb_documents_version (const struct bb_documents *d,
                               enum bb_document_kind kind);

/* Why the last document of KIND that was offered was refused, or NULL if it
   was not.  */
const char *bb_documents_refusal_text (const struct bb_documents *d,
                                       enum bb_document_kind kind);
const char *bb_document_name (enum bb_document_kind kind);
#endif
