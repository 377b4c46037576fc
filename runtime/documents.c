#include "runtime/documents.h"
#include "runtime/log.h"
#include "runtime/probe.h"
#include "runtime/process_private.h"
#include <string.h>

struct document
{
  uint64_t version; /* 0 if there is no document */
  GBytes *bytes;
  struct bb_config_document *parsed; /* NULL for the VM list */
};

struct refusal
{
  char *text; /* NULL if the last document was accepted */
  GBytes *bytes;
};

struct bb_documents
{
  struct bb_process *process;
  bool is_overlay_absent;
  bool is_from_peer; /* whether the document being checked came from a peer */
  struct document current[BB_DOCUMENT_KINDS]; /* in force */
  /* Newer than the document in force, but not valid with the documents of the
     other kind (base or overlay) received so far.  */
  struct document candidate[BB_DOCUMENT_KINDS];
  struct refusal refusals[BB_DOCUMENT_KINDS];
  uint64_t reported_stale[BB_DOCUMENT_KINDS]; /* last older version that was
                                                 reported */
};

static const char *const names[BB_DOCUMENT_KINDS] = {
  [BB_DOCUMENT_BASE] = "base",
  [BB_DOCUMENT_OVERLAY] = "overlay",
  [BB_DOCUMENT_VMS] = "vms",
};

const char *
bb_document_name (enum bb_document_kind kind)
{
  return names[kind];
}

struct bb_documents *
bb_documents_new (struct bb_process *p)
{
  struct bb_documents *d = g_new0 (struct bb_documents, 1);
  d->process = p;
  return d;
}

static void
document_clear (struct document *document)
{
  if (document->parsed)
    bb_config_document_free (document->parsed);
  g_bytes_unref (document->bytes);
  *document = (struct document){ 0 };
}

static void
refusal_clear (struct refusal *refusal)
{
  g_free (refusal->text);
  g_bytes_unref (refusal->bytes);
  *refusal = (struct refusal){ 0 };
}

void
bb_documents_free (struct bb_documents *d)
{
  if (!d)
    return;
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    {
      document_clear (&d->current[i]);
      document_clear (&d->candidate[i]);
      refusal_clear (&d->refusals[i]);
    }
  g_free (d);
}

static void
add_event (struct bb_documents *d, enum bb_event_kind kind, uint64_t value)
{
  struct bb_event event = { .kind = kind, .value = value };
  bb_events_add (d->process->events, &event, bb_clock_boot (),
                 bb_clock_wall ());
}

/* Records and reports a refusal; takes ownership of TEXT.  For a document from
   a peer, the engine adds the event.  */
static enum bb_offer
refuse_document (struct bb_documents *d, enum bb_document_kind kind,
                 uint64_t version, GBytes *bytes, char *text)
{
  struct refusal *refusal = &d->refusals[kind];
  refusal_clear (refusal);
  refusal->text = text ? text : g_strdup ("the document is invalid");
  refusal->bytes = g_bytes_ref (bytes);
  bb_log_write_text (d->process->log, BB_LOG_ERROR, "document_refused",
                     refusal->text);
  if (!d->is_from_peer)
    add_event (d, BB_EVENT_VERSION_REFUSED, version);
  return BB_OFFER_REFUSED;
}

static void
promote_candidate (struct bb_documents *d, enum bb_document_kind kind)
{
  if (d->candidate[kind].version == 0)
    return;
  document_clear (&d->current[kind]);
  d->current[kind] = d->candidate[kind];
  d->candidate[kind] = (struct document){ 0 };
  refusal_clear (&d->refusals[kind]);
  uint64_t versions[BB_DOCUMENT_KINDS];
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    versions[i] = d->current[i].version;
  bb_events_set_versions (d->process->events, versions);
  gsize size;
  const uint8_t *bytes = g_bytes_get_data (d->current[kind].bytes, &size);
  bb_engine_store_document (d->process->engine, kind, d->current[kind].version,
                            bytes, size);
}

static void
apply_fleet (struct bb_documents *d, const struct bb_fleet *fleet)
{
  struct bb_process *p = d->process;
  bb_names_add_fleet (p->names, fleet);
  bb_engine_set_fleet (p->engine, fleet, bb_clock_boot ());
  bb_probes_set_fleet (p->probes, fleet);
}

/* Merges BASE and OVERLAY. Returns the configuration, or NULL. A merge that is
   attempted replaces *PROBLEMS with the problems found.  */
static struct bb_fleet *
merge_pair (struct bb_documents *d, const struct document *base,
            const struct document *overlay, GPtrArray **problems)
{
  if (!base->parsed || (!overlay->parsed && !d->is_overlay_absent))
    return NULL;
  g_ptr_array_unref (*problems);
  *problems = bb_problems_new ();
  return bb_config_merge (base->parsed, overlay->parsed,
                          d->process->settings->self.data_centre, *problems);
}

/* Selects the newest valid pair of base and overlay that includes a candidate,
   and puts it in force.  Returns false if no pair is valid; *PROBLEMS then
   holds the problems of the last pair tried.  */
static bool
apply_candidates (struct bb_documents *d, GPtrArray **problems)
{
  const int base = BB_DOCUMENT_BASE, overlay = BB_DOCUMENT_OVERLAY;
  static const struct
  {
    bool new_base;
    bool new_overlay;
  } combinations[] = { { true, true }, { true, false }, { false, true } };
  for (size_t i = 0; i < G_N_ELEMENTS (combinations); i++)
    {
      if ((combinations[i].new_base && !d->candidate[base].parsed)
          || (combinations[i].new_overlay && !d->candidate[overlay].parsed))
        continue;
      struct bb_fleet *fleet = merge_pair (
          d,
          combinations[i].new_base ? &d->candidate[base] : &d->current[base],
          combinations[i].new_overlay ? &d->candidate[overlay]
                                      : &d->current[overlay],
          problems);
      if (!fleet)
        continue;
      if (combinations[i].new_base)
        promote_candidate (d, BB_DOCUMENT_BASE);
      if (combinations[i].new_overlay)
        promote_candidate (d, BB_DOCUMENT_OVERLAY);
      g_free (bb_log_write_problems (d->process->log, *problems));
      apply_fleet (d, fleet);
      bb_fleet_free (fleet);
      return true;
    }
  return false;
}

bool
bb_documents_is_base_waiting (const struct bb_documents *d)
{
  return d->candidate[BB_DOCUMENT_BASE].parsed && !d->is_overlay_absent
         && !d->candidate[BB_DOCUMENT_OVERLAY].parsed
         && !d->current[BB_DOCUMENT_OVERLAY].parsed;
}

/* Returns whether the other document of the pair (the overlay of a base, the
   base of an overlay) is missing, so that no pair can be tried yet.  */
static bool
lacks_counterpart (const struct bb_documents *d, enum bb_document_kind kind)
{
  if (kind == BB_DOCUMENT_BASE)
    return bb_documents_is_base_waiting (d);
  return !d->candidate[BB_DOCUMENT_BASE].parsed
         && !d->current[BB_DOCUMENT_BASE].parsed;
}

static void
report_stale (struct bb_documents *d, enum bb_document_kind kind,
              uint64_t version)
{
  if (d->reported_stale[kind] != version && !d->is_from_peer)
    add_event (d, BB_EVENT_VERSION_STALE, version);
  d->reported_stale[kind] = version;
}

/* Compares VERSION with the version in force.  Returns true if VERSION is
   newer; otherwise sets *OFFER to the result of the offer.  */
static bool
is_newer (struct bb_documents *d, enum bb_document_kind kind, uint64_t version,
          GBytes *bytes, enum bb_offer *offer)
{
  const struct document *current = &d->current[kind];
  if (version > current->version)
    return true;
  if (version < current->version)
    {
      report_stale (d, kind, version);
      *offer = BB_OFFER_OLDER;
    }
  else if (g_bytes_equal (bytes, current->bytes))
    {
      refusal_clear (&d->refusals[kind]);
      *offer = BB_OFFER_SAME;
    }
  else
    *offer = refuse_document (
        d, kind, version, bytes,
        g_strdup_printf ("%s: version %" G_GUINT64_FORMAT
                         " is in force with other content; expected a higher "
                         "version for changed content",
                         names[kind], version));
  return false;
}

static char *
format_version_mismatch (enum bb_document_kind kind, uint64_t announced,
                         uint64_t actual)
{
  return g_strdup_printf ("%s: announced as version %" G_GUINT64_FORMAT
                          ", but the document has version %" G_GUINT64_FORMAT,
                          names[kind], announced, actual);
}

static enum bb_offer
offer_configuration (struct bb_documents *d, enum bb_document_kind kind,
                     uint64_t announced, GBytes *bytes, GPtrArray **problems)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  enum bb_offer offer;
  struct document new = { .bytes = bytes };
  new.parsed = bb_config_parse (names[kind], data, size, *problems);
  if (!new.parsed || bb_problems_have_error (*problems))
    {
      if (new.parsed)
        bb_config_document_free (new.parsed);
      return refuse_document (
          d, kind, announced, bytes,
          bb_log_write_problems (d->process->log, *problems));
    }
  new.version = bb_config_document_version (new.parsed);
  if (announced != 0 && announced != new.version)
    offer = refuse_document (
        d, kind, announced, bytes,
        format_version_mismatch (kind, announced, new.version));
  else if (is_newer (d, kind, new.version, bytes, &offer))
    {
      document_clear (&d->candidate[kind]);
      d->candidate[kind] = new;
      g_bytes_ref (bytes);
      if (apply_candidates (d, problems))
        return d->candidate[kind].parsed ? BB_OFFER_WAITING
                                         : BB_OFFER_ACCEPTED;
      if (lacks_counterpart (d, kind))
        return BB_OFFER_WAITING;
      return refuse_document (
          d, kind, new.version, bytes,
          bb_log_write_problems (d->process->log, *problems));
    }
  bb_config_document_free (new.parsed);
  return offer;
}

static enum bb_offer
offer_vms (struct bb_documents *d, uint64_t announced, GBytes *bytes,
           GPtrArray *problems)
{
  const enum bb_document_kind kind = BB_DOCUMENT_VMS;
  struct bb_process *p = d->process;
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  enum bb_offer offer = BB_OFFER_ACCEPTED;
  struct bb_vm_list *list
      = bb_config_parse_vms (names[kind], data, size, problems);
  if (!list || bb_problems_have_error (problems))
    offer
        = refuse_document (d, kind, announced, bytes,
                           bb_log_write_problems (d->process->log, problems));
  else if (announced != 0 && announced != list->version)
    offer = refuse_document (
        d, kind, announced, bytes,
        format_version_mismatch (kind, announced, list->version));
  else if (is_newer (d, kind, list->version, bytes, &offer))
    {
      g_free (bb_log_write_problems (d->process->log, problems));
      d->candidate[kind]
          = (struct document){ list->version, g_bytes_ref (bytes), NULL };
      promote_candidate (d, kind);
      bb_names_add_vms (p->names, list->vms, list->vm_count);
      bb_engine_set_vm_list (p->engine, list, bb_clock_boot ());
    }
  if (list)
    bb_vm_list_free (list);
  return offer;
}

enum bb_offer
bb_documents_offer (struct bb_documents *d, enum bb_document_kind kind,
                    uint64_t version, const uint8_t *bytes, size_t length,
                    const char *source)
{
  const struct refusal *last = &d->refusals[kind];
  GBytes *copy = g_bytes_new (bytes, length);
  GPtrArray *problems = bb_problems_new ();
  enum bb_offer offer;
  d->is_from_peer = strcmp (source, "peer") == 0;
  if (last->bytes && g_bytes_equal (last->bytes, copy))
    offer = BB_OFFER_REFUSED; /* reported when it was first received */
  else if (length > BB_DOCUMENT_MAX)
    offer = refuse_document (
        d, kind, version, copy,
        g_strdup_printf ("%s from %s: %zu bytes; expected at most %d",
                         names[kind], source, length, BB_DOCUMENT_MAX));
  else if (kind == BB_DOCUMENT_VMS)
    offer = offer_vms (d, version, copy, problems);
  else
    offer = offer_configuration (d, kind, version, copy, &problems);
  g_ptr_array_unref (problems);
  g_bytes_unref (copy);
  return offer;
}

void
bb_documents_set_overlay_absent (struct bb_documents *d)
{
  if (d->is_overlay_absent || d->current[BB_DOCUMENT_OVERLAY].version != 0)
    return;
  d->is_overlay_absent = true;
  const struct document *base = &d->candidate[BB_DOCUMENT_BASE];
  GPtrArray *problems = bb_problems_new ();
  if (!apply_candidates (d, &problems) && base->parsed)
    refuse_document (d, BB_DOCUMENT_BASE, base->version, base->bytes,
                     bb_log_write_problems (d->process->log, problems));
  g_ptr_array_unref (problems);
}

uint64_t
bb_documents_version (const struct bb_documents *d, enum bb_document_kind kind)
{
  return d->current[kind].version;
}

const char *
bb_documents_refusal_text (const struct bb_documents *d,
                           enum bb_document_kind kind)
{
  return d->refusals[kind].text;
}
