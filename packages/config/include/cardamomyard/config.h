#ifndef CARDAMOMYARD_CONFIG_H_
#define CARDAMOMYARD_CONFIG_H_

/// \file
/// Public header of the package config: the configuration, its folder, its
/// stored form and the generation in force.

#include "src/config/configuration.h"
#include "src/config/edit.h"
#include "src/config/entity.h"
#include "src/config/entity_json.h"
#include "src/config/folder.h"
#include "src/config/generation_tracker.h"
#include "src/config/shards.h"

#endif  // CARDAMOMYARD_CONFIG_H_
