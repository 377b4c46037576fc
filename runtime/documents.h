/* Configuration documents.  Checks each base, overlay and VM list that arrives
   from the platform or a peer, and puts the newest valid ones in force.  A
   document that is invalid, or that changes its content without a new version,
   is refused, and the previous one stays in force.  */

#ifndef BB_RUNTIME_DOCUMENTS_H
#define BB_RUNTIME_DOCUMENTS_H

#include "runtime/platform.h"

struct bb_process;
struct bb_documents;

struct bb_documents *bb_documents_new (struct bb_process *p);
void bb_documents_free (struct bb_documents *d);

/* Offers a document.  VERSION is the announced version of the document, or 0
   if no version was announced.  SOURCE is "platform" or "peer".  */
enum bb_offer bb_documents_offer (struct bb_documents *d,
                                  enum bb_document_kind kind, uint64_t version,
                                  const uint8_t *bytes, size_t length,
                                  const char *source);

/* Records that this data centre has no overlay, so that a base may be used on
   its own.  */
void bb_documents_set_overlay_absent (struct bb_documents *d);

/* Returns whether a base is held back because it is not yet certain whether an
   overlay exists.  */
bool bb_documents_is_base_waiting (const struct bb_documents *d);

uint64_t bb_documents_version (const struct bb_documents *d,
                               enum bb_document_kind kind);

/* Returns the reason why the last offered document of KIND was refused, or
   NULL if it was accepted.  */
const char *bb_documents_refusal_text (const struct bb_documents *d,
                                       enum bb_document_kind kind);
const char *bb_document_name (enum bb_document_kind kind);
#endif
