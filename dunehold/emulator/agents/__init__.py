"""The models brought to life by asyncio, over whatever carries messages."""
