#pragma once

#include <bronzering/config/config_store.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/config/fleet_section.h>
#include <bronzering/config/process_settings.h>
