#include "bbctl/bbctl.h"
#include <stdio.h>
#include <string.h>

static gboolean json;

static const GOptionEntry entries[]
    = { { "json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
        G_OPTION_ENTRY_NULL };

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "",
  .summary = "Prints the reference of all configuration keys as Markdown.",
  .min_arguments = 0,
  .max_arguments = 0,
};

static const struct
{
  const char *document;
  const char *text;
} documents[] = {
  { "base", "The configuration of all data centres. `NAME` stands for a name "
            "that the operator chooses: 1 to 63 letters, digits, `.`, `-` "
            "and `_`, the first a letter or digit." },
  { "overlay", "What differs in one data centre. Its `services` are merged "
               "into those of the base as RFC 7396 says: objects are merged, "
               "`null` deletes, anything else replaces. The keys below "
               "`services` are those of the base." },
  { "vms", "The list of VMs, published by the platform. `[]` stands for the "
           "elements of a list." },
  { "settings", "The settings of one balancer process, in a file on its VM." },
};

static void
print_row (const struct bb_key_doc *k)
{
  bool unit = *k->unit != '\0';

  printf ("| `%s` | %s | %s%s%s | %s | %s |\n", k->path, k->type, k->range,
          unit ? " " : "", k->unit, k->default_text, k->text);
}

static void
print_markdown (const struct bb_key_doc *rows, size_t count)
{
  puts ("# Settings\n\n"
        "Made by `bbctl keys`; do not edit. The parser uses the same table.\n"
        "Documents are JSON with `//` and `/* */` comments, at most 1 MB.");
  for (size_t d = 0; d < G_N_ELEMENTS (documents); d++)
    {
      printf ("\n## %s\n\n%s\n\n| key | type | values | default | meaning |\n"
              "|---|---|---|---|---|\n",
              documents[d].document, documents[d].text);
      for (size_t i = 0; i < count; i++)
        if (!strcmp (rows[i].document, documents[d].document))
          print_row (&rows[i]);
    }
}

static void
print_json (const struct bb_key_doc *rows, size_t count)
{
  json_object *list = json_object_new_array ();

  for (size_t i = 0; i < count; i++)
    {
      const struct bb_key_doc *k = &rows[i];
      const char *const members[][2]
          = { { "document", k->document }, { "path", k->path },
              { "type", k->type },         { "unit", k->unit },
              { "range", k->range },       { "default", k->default_text },
              { "text", k->text } };
      json_object *o = json_object_new_object ();
      for (size_t m = 0; m < G_N_ELEMENTS (members); m++)
        json_object_object_add (o, members[m][0],
                                json_object_new_string (members[m][1]));
      json_object_array_add (list, o);
    }
  bb_ctl_print_json (list);
}

int
bb_ctl_run_keys (int argc, char **argv)
{
  size_t count = 0;

  if (!bb_ctl_parse_options (&options, &argc, &argv))
    return BB_CTL_EXIT_USAGE;
  const struct bb_key_doc *rows = bb_config_list_keys (&count);
  (json ? print_json : print_markdown) (rows, count);
  return 0;
}
