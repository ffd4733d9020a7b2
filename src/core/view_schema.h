/* view_schema - field tables of the objects in a team's subtree: settings,
   ranges and defaults.  Private to view*.c.  */

#ifndef SAVORYWAY_CORE_VIEW_SCHEMA_H
#define SAVORYWAY_CORE_VIEW_SCHEMA_H

#include "core/view_read.h"

extern const struct schema schema_kind;
extern const struct schema schema_database;
extern const struct schema schema_instance;
extern const struct schema schema_caller;
extern const struct schema schema_service;
extern const struct schema schema_team;

/* Settings of an undeclared kind, and the defaults of a declared one.  */
extern const struct view_kind schema_strictest_kind;

#endif
