#pragma once

#include <bronzering/wire/frame.h>
#include <bronzering/wire/link_session.h>
#include <bronzering/wire/message_codec.h>
#include <bronzering/wire/send_queue.h>
