/*
 * The schemas of the YAML files, exported for the test that compares the
 * manual pages with them.
 */

#ifndef SCHEMAS_H
#define SCHEMAS_H

#include "yaml-walk.h"

extern const struct walk_schema settings_schema;
extern const struct walk_schema document_schema;

#endif /* SCHEMAS_H */
