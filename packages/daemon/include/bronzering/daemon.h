#pragma once

#include <bronzering/daemon/command_line.h>
#include <bronzering/daemon/daemon_event_loop.h>
#include <bronzering/daemon/node_log.h>
#include <bronzering/daemon/process_start.h>
#include <bronzering/daemon/state_table.h>
